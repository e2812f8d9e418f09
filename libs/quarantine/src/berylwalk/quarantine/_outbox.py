"""Queue of the updates that are still to be sent to other routers."""

from collections import OrderedDict

from berylwalk.quarantine._identity import Identity, is_part

TRANSMISSIONS = 4
"""Messages in which each item is sent, as datagrams may be lost: if three in a
hundred are, all of a hundred routers receive it."""


class Outbox:
    """Requests and incarnations with pending transmissions, the oldest first."""

    def __init__(self) -> None:
        self._transmissions_by_identity: OrderedDict[Identity, int] = OrderedDict()
        self._transmissions_by_incarnation: OrderedDict[str, int] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(
            self._transmissions_by_identity or self._transmissions_by_incarnation
        )

    def add(self, identity: Identity) -> None:
        """Schedule a request or part, to be sent with its state at that time.

        Parts go first: each crash implicates few of them, but many requests.
        """
        self._transmissions_by_identity[identity] = TRANSMISSIONS
        if is_part(identity):
            self._transmissions_by_identity.move_to_end(identity, last=False)

    def add_once(self, identity: Identity) -> None:
        """Schedule a request for one transmission if none is pending."""
        self._transmissions_by_identity.setdefault(identity, 1)

    def add_alive(self, incarnation_id: str) -> None:
        """Schedule that an incarnation is running."""
        self._transmissions_by_incarnation[incarnation_id] = TRANSMISSIONS

    def take(self, limit: int) -> list[Identity]:
        """Return the requests to send now."""
        return _take(self._transmissions_by_identity, limit)

    def take_alive(self, limit: int) -> list[str]:
        """Return the running incarnations to send now."""
        return _take(self._transmissions_by_incarnation, limit)

    def clear(self) -> None:
        """Drop all pending transmissions: another router sends them."""
        self._transmissions_by_identity.clear()
        self._transmissions_by_incarnation.clear()


def _take(transmissions_by_key: OrderedDict, limit: int) -> list:
    """Return the first keys; those with transmissions left go to the end."""
    taken = list(transmissions_by_key)[:limit]
    for key in taken:
        left = transmissions_by_key.pop(key) - 1
        if left > 0:
            transmissions_by_key[key] = left
    return taken
