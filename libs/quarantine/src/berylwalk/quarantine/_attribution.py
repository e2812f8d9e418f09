"""Attributes crashes of targets to the smallest set of requests that explains them."""

from collections.abc import Collection, Mapping, Set
from dataclasses import dataclass

from berylwalk.quarantine._identity import Identity

CRASHES_TO_BLAME = 3
"""Crashes not explained by another request from which a request is blamed. If each
target crashes every twenty seconds and a response takes one second, one in ten thousand
harmless requests meets three crashes."""
CRASHES_TO_SUSPECT = 2
"""Crashes from which a request is isolated from others, as it may be the cause."""


@dataclass(frozen=True, slots=True)
class Attribution:
    """Requests that are held responsible for the known crashes.

    Parameters
    ----------
    blamed : dict
        Incarnations of targets that crashed under each blamed request.
    suspected : set
        Requests that may have caused some crashes, but are not blamed.
    contested : set
        Blamed requests whose crashes may have been caused by another request too.
    """

    blamed: dict[Identity, frozenset[str]]
    suspected: Set[Identity]
    contested: Set[Identity]


NO_ATTRIBUTION = Attribution({}, frozenset(), frozenset())


def attribute_crashes(
    crashes_by_identity: Mapping[Identity, Collection[str]],
) -> Attribution:
    """Return which requests are to blame for crashes.

    A crash affects all requests that the target is processing, so that a harmless
    request that runs beside a poison request gathers several crashes too. This is a
    greedy set cover: the request with the most crashes explains them, and only the
    crashes that are left count for the others. Requests with equally many crashes are
    blamed together, and their trials distinguish them.

    Parameters
    ----------
    crashes_by_identity : mapping
        Incarnations of targets that crashed while they processed each request.
    """
    repeated = {
        identity: crashes
        for identity, crashes in crashes_by_identity.items()
        if len(crashes) >= CRASHES_TO_SUSPECT
    }
    if max(map(len, repeated.values()), default=0) < CRASHES_TO_BLAME:
        return Attribution({}, repeated.keys(), frozenset())
    unexplained_by_identity = {
        identity: set(crashes) for identity, crashes in repeated.items()
    }
    blamed: dict[Identity, frozenset[str]] = {}
    while unexplained_by_identity:
        most = max(map(len, unexplained_by_identity.values()))
        if most < CRASHES_TO_BLAME:
            break
        worst = [
            each
            for each, crashes in unexplained_by_identity.items()
            if len(crashes) == most
        ]
        explained: set[str] = set()
        for identity in worst:
            explained |= unexplained_by_identity.pop(identity)
            blamed[identity] = frozenset(crashes_by_identity[identity])
        for crashes in unexplained_by_identity.values():
            crashes -= explained
    suspected = {
        identity
        for identity, crashes in unexplained_by_identity.items()
        if len(crashes) >= CRASHES_TO_SUSPECT
    }
    return Attribution(blamed, suspected, _contested(blamed, repeated))


def _contested(
    blamed: Mapping[Identity, Set[str]],
    repeated: Mapping[Identity, Collection[str]],
) -> Set[Identity]:
    """Return the blamed requests that share two or more crashes with another request.

    Parameters
    ----------
    blamed : mapping
        Crashes under each blamed request.
    repeated : mapping
        Crashes under each request that has several of them.
    """
    others = [(identity, set(crashes)) for identity, crashes in repeated.items()]
    return {
        identity
        for identity, crashes in blamed.items()
        if any(
            other != identity and len(crashes & other_crashes) >= CRASHES_TO_SUSPECT
            for other, other_crashes in others
        )
    }
