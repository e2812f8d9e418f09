"""Many routers that know the same do not all send to the same place.

Load pattern: ten routers of a failure domain and as many engines. One place falls free;
all of them hear of it before any hears what the others have sent there.
"""

from collections import Counter
from random import Random

from berylwalk.dispatch import (
    Dispatcher,
    TargetEntry,
    TargetState,
    TargetTable,
    Ticket,
    Work,
)

ROUTERS = 10
TARGETS = 10
SLOTS = 9
MOST_AT_ONE = 4
"""Requests that may meet at the free place: half of those that the routers send."""


def router(name, *, busy):
    """Return a router that knows all targets, one of which has a free place."""
    targets = TargetTable()
    entries = [
        TargetEntry(
            target_id=f"t{number}",
            service="s",
            host="10.0.0.1",
            port=1,
            failure_domain="fd-a",
            slots=SLOTS,
            state=TargetState.READY,
        )
        for number in range(TARGETS)
    ]
    targets.replace(entries, 0.0)
    loads = {f"t{number}": (busy, 0) for number in range(1, TARGETS)}
    targets.hear_loads("others", {**loads, "t0": (busy - 3, 0)})
    return Dispatcher(
        targets, failure_domain="fd-a", name=name, draw=Random(name).random
    )


def sent_to(name):
    """Return where a router sends one request."""
    ticket = Ticket(
        service="s", rank=(0, 0), work=Work(500, 100), on_place=lambda target: None
    )
    return router(name, busy=SLOTS - 1).submit(ticket, 0.0).entry.target_id


class TestOwnOrder:
    """Routers prefer different targets among those that are nearly alike."""

    def test_few_meet_at_the_same_place(self):
        """Though it is the best one by a little for all of them."""
        chosen = Counter(sent_to(f"edge-{number}") for number in range(ROUTERS))
        assert max(chosen.values()) <= MOST_AT_ONE

    def test_nameless_routers_meet(self):
        """So that it is the order that keeps them apart."""
        chosen = Counter(sent_to("") for _ in range(ROUTERS))
        assert max(chosen.values()) > MOST_AT_ONE
