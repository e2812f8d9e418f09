"""Who is to blame for targets that ended: the fewest requests that explain the ends."""

from collections.abc import Collection, Mapping, Set
from dataclasses import dataclass

from berylwalk.quarantine._identity import Identity

CRASHES_TO_BLAME = 3
"""Ends that no other request explains, from which a request is to blame. Of what is
harmless, one in ten thousand meets three ends before it is answered where each target
ends every twenty seconds and an answer takes a second."""
ENDS_TO_SUSPECT = 2
"""Ends from which a request runs apart from others: it may be the cause."""


@dataclass(frozen=True, slots=True)
class Attribution:
    """What follows from the ends that are known.

    Parameters
    ----------
    blamed : dict
        Lives that ended under each request that is to blame.
    suspected : set
        Requests that may be the cause of some ends, and are not blamed.
    contested : set
        Those of the blamed whose ends others may have caused too.
    """

    blamed: dict[Identity, frozenset[str]]
    suspected: Set[Identity]
    contested: Set[Identity]


NOBODY = Attribution({}, frozenset(), frozenset())


def attribute_crashes(
    lives_by_identity: Mapping[Identity, Collection[str]],
) -> Attribution:
    """Return who is to blame.

    A target that ends takes all along that it runs, so that what is harmless is found
    under several ends too, where a request that ends targets is about. The request
    under which most targets ended explains those ends; what is left of the others'
    counts for the next. Requests that can't be told apart are blamed together: their
    trials tell them apart.

    Parameters
    ----------
    lives_by_identity : mapping
        Lives of targets that ended while they ran each request.
    """
    several = {
        identity: lives
        for identity, lives in lives_by_identity.items()
        if len(lives) >= ENDS_TO_SUSPECT
    }
    if max(map(len, several.values()), default=0) < CRASHES_TO_BLAME:
        return Attribution({}, several.keys(), frozenset())
    left_by_identity = {identity: set(lives) for identity, lives in several.items()}
    blamed: dict[Identity, frozenset[str]] = {}
    while left_by_identity:
        most = max(map(len, left_by_identity.values()))
        if most < CRASHES_TO_BLAME:
            break
        worst = [each for each, lives in left_by_identity.items() if len(lives) == most]
        explained: set[str] = set()
        for identity in worst:
            explained |= left_by_identity.pop(identity)
            blamed[identity] = frozenset(lives_by_identity[identity])
        for lives in left_by_identity.values():
            lives -= explained
    suspected = {
        identity
        for identity, lives in left_by_identity.items()
        if len(lives) >= ENDS_TO_SUSPECT
    }
    return Attribution(blamed, suspected, _contested(blamed, several))


def _contested(
    blamed: Mapping[Identity, Set[str]],
    several: Mapping[Identity, Collection[str]],
) -> Set[Identity]:
    """Return the blamed of whose ends another one has two or more too.

    Parameters
    ----------
    blamed : mapping
        Ends under each of them.
    several : mapping
        The same of all under which several targets ended.
    """
    others = [(identity, set(lives)) for identity, lives in several.items()]
    return {
        identity
        for identity, lives in blamed.items()
        if any(
            other != identity and len(lives & others_lives) >= ENDS_TO_SUSPECT
            for other, others_lives in others
        )
    }
