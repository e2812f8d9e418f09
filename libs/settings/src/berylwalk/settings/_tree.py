"""Settings tree and the computation of effective values."""

from collections.abc import Mapping
from hashlib import sha256
from types import MappingProxyType
from typing import Self

from berylwalk.model import FindingsError, ServicePolicy, TierPolicy
from berylwalk.settings._checks import Sections, Value, check_sections
from berylwalk.settings._explanation import Explanation
from berylwalk.settings._keys import (
    CREDENTIAL_KEY,
    NOT_INHERITED,
    NodeKeys,
    TierKeys,
)
from berylwalk.settings._paths import (
    ROOT,
    ancestry,
    child_path,
    is_node,
    is_tier,
    tier_name,
)

DOCUMENT_SOURCE = "settings"
_BUILT_IN_TIER = TierPolicy(name="default", rank=0)
_SERVICE_POLICY_KEYS = (
    "weight",
    "deadline_s",
    "max_waiting",
    "max_running",
    "max_output_tokens",
    "models",
    "idempotent",
    "target_service",
)


class SettingsTree:
    """Immutable, validated tree of settings with inheritance.

    Use :meth:`from_sections` to construct a tree from unvalidated values.

    Parameters
    ----------
    sections : mapping of str to mapping of str to Value
        Validated values by section (a path or ``tier NAME``) and key.
    """

    def __init__(self, sections: Sections) -> None:
        self._sections = MappingProxyType(
            {name: MappingProxyType(dict(values)) for name, values in sections.items()}
        )
        self._tiers_by_name = _tiers_by_name(self._sections)
        self._account_by_credential = {
            credential: section
            for section, values in self._sections.items()
            for credential in values.get(CREDENTIAL_KEY, ())
        }
        # Cache of evaluated policies; the tree is immutable.
        self._policy_by_path: dict[str, ServicePolicy] = {}

    @classmethod
    def from_sections(
        cls,
        raw: Mapping[str, Mapping[str, object]],
        *,
        source: str = DOCUMENT_SOURCE,
    ) -> Self:
        """Validate sections and build a tree from them.

        Parameters
        ----------
        raw : mapping of str to mapping of str to object
            Values by section and key, typed or as text.
        source : str
            Name of the file or document, used in findings.

        Returns
        -------
        SettingsTree

        Raises
        ------
        FindingsError
            If the sections are invalid; lists every problem.
        """
        sections, findings = check_sections(raw, source)
        if findings:
            raise FindingsError(findings)
        return cls(sections)

    @property
    def sections(self) -> Sections:
        """Values by section and key, without inherited ones."""
        return self._sections

    @property
    def tiers_by_name(self) -> Mapping[str, TierPolicy]:
        """Tiers that the tree defines, by name."""
        return MappingProxyType(self._tiers_by_name)

    @property
    def accounts(self) -> tuple[str, ...]:
        """Paths of the client accounts, sorted."""
        return tuple(sorted(set(self._account_by_credential.values())))

    def account_for_token(self, token: str) -> str | None:
        """Return the client account of a bearer token; None if unknown."""
        return self._account_by_credential.get(sha256(token.encode()).hexdigest())

    def account_of(self, path: str) -> str | None:
        """Return the nearest client account at or above a path; None if absent."""
        for section in ancestry(path):
            if self._sections.get(section, {}).get(CREDENTIAL_KEY):
                return section
        return None

    def lookup(self, path: str, key: str) -> Value | None:
        """Return the effective value of a key; None if no node sets it.

        Raises
        ------
        ValueError
            If ``path`` is not a path such as ``/a/b``.
        """
        explanation = self._explain_key(path, key)
        return None if explanation is None else explanation.value

    def explain(self, path: str) -> tuple[Explanation, ...]:
        """Return the source of each effective value of a node.

        Parameters
        ----------
        path : str
            Path of a node, which need not exist.

        Returns
        -------
        tuple of Explanation
            In the order of the settings reference, without keys that are not set.

        Raises
        ------
        ValueError
            If ``path`` is not a path such as ``/a/b``.
        """
        found = (self._explain_key(path, key) for key in NodeKeys.model_fields)
        return tuple(explanation for explanation in found if explanation is not None)

    def evaluate(self, path: str) -> ServicePolicy:
        """Compute the service policy of a node.

        Parameters
        ----------
        path : str
            Path of a node; one that does not exist inherits all values.

        Returns
        -------
        ServicePolicy
            ``client_account`` is the nearest account at or above the path, or the
            path itself if there is none; ``service`` is the rest of the path.
        """
        cached = self._policy_by_path.get(path)
        if cached is not None:
            return cached
        service_policy = self._compute_service_policy(path)
        # Callers choose the other paths; caching them would use unbounded memory.
        if path in self._sections:
            self._policy_by_path[path] = service_policy
        return service_policy

    def service_policy_for(self, account: str, service: str = "") -> ServicePolicy:
        """Compute the service policy of a service of a client account.

        Parameters
        ----------
        account : str
            Path of the account.
        service : str
            Name of the node below the account.

        Returns
        -------
        ServicePolicy
            The policy of the account if it has no such node.
        """
        path = child_path(account, service)
        return self.evaluate(path if path in self._sections else account)

    def _explain_key(self, path: str, key: str) -> Explanation | None:
        if not is_node(path):
            raise ValueError(f"{path!r} is not a path such as /a/b")
        candidates = (path,) if key in NOT_INHERITED else ancestry(path)
        definitions = [
            (section, self._sections[section][key])
            for section in candidates
            if key in self._sections.get(section, {})
        ]
        if not definitions:
            return None
        (source, value), *overrides = definitions
        return Explanation(key, value, source, source != path, tuple(overrides))

    def _compute_service_policy(self, path: str) -> ServicePolicy:
        found = {key: self.lookup(path, key) for key in _SERVICE_POLICY_KEYS}
        values = {key: value for key, value in found.items() if value is not None}
        tier = self._tier(self.lookup(path, "tier"))
        values.setdefault("deadline_s", tier.deadline_s)
        account = self.account_of(path) or path
        service = path.removeprefix(account).removeprefix(ROOT)
        return ServicePolicy(
            client_account=account, service=service, tier=tier, **values
        )

    def _tier(self, name: Value | None) -> TierPolicy:
        if name is not None:
            return self._tiers_by_name[name]
        # Requests without a tier must not displace requests with one.
        by_rank = sorted(self._tiers_by_name.values(), key=lambda tier: tier.rank)
        return by_rank[-1] if by_rank else _BUILT_IN_TIER

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, SettingsTree):
            return NotImplemented
        return self._sections == other._sections

    __hash__ = None

    def __repr__(self) -> str:
        return f"SettingsTree({len(self._sections)} sections)"


def _tiers_by_name(sections: Sections) -> dict[str, TierPolicy]:
    tiers = {}
    for section, values in sections.items():
        if is_tier(section):
            name = tier_name(section)
            tiers[name] = TierPolicy(
                name, **TierKeys.model_validate(values).model_dump()
            )
    return tiers
