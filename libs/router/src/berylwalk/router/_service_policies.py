"""Service policies from the settings document in force, for the caller API."""

from collections.abc import Callable

from berylwalk.model import ServicePolicy
from berylwalk.settings import SettingsDocument

CREDENTIAL_KEY = "credential_sha256"


class DocumentServicePolicies:
    """Implements `berylwalk.caller.ServicePolicySource` over the latest document.

    Parameters
    ----------
    document : callable
        Returns the document in force, or None.
    """

    def __init__(self, document: Callable[[], SettingsDocument | None]) -> None:
        self._document = document
        self._indexed: SettingsDocument | None = None
        self._account_by_digest: dict[str, str] = {}

    def by_token(self, sha256_hex: str) -> str | None:
        """Return the client account whose bearer token has this SHA-256."""
        document = self._document()
        if document is None:
            return None
        if document is not self._indexed:
            self._index(document)
        return self._account_by_digest.get(sha256_hex)

    def service_policy(self, account: str, service: str) -> ServicePolicy | None:
        """Return the effective policy of a service, or None if it is not configured."""
        document = self._document()
        if document is None:
            return None
        path = f"{account.rstrip('/')}/{service}" if service else account
        tree = document.tree
        return tree.evaluate(path) if path in tree.sections else None

    def _index(self, document: SettingsDocument) -> None:
        self._indexed = document
        self._account_by_digest = {
            digest: section
            for section, values in document.tree.sections.items()
            for digest in values.get(CREDENTIAL_KEY, ())
        }
