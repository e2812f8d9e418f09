"""Exhaustive model check of the synchronization between routers.

Visits all interleavings of two store changes, one store read and two sync requests
among three routers, with arbitrary delays and one lost message, and checks the
invariants in each state. The routers run the production code.
"""

from copy import copy
from itertools import count

from berylwalk.platform import Changes, EventKind, KeyValue, Listing, WatchEvent
from berylwalk.reading import PendingSyncs, PrefixState

KEY = b"k"
ROUTERS = ("r0", "r1", "r2")
READER = "r0"
REQUESTS = (("r1", "r0"), ("r2", "r0"), ("r2", "r1"))
"""Pairs of requesting and replying router: the reader, or one synchronized by it."""
MAX_REQUESTS = 2
"""Requests in one interleaving."""


def copied(state):
    """Return a copy of an object and of the collections that it holds."""
    other = copy(state)
    for name, value in vars(state).items():
        if name == "_numbers":
            setattr(other, name, count(next(copy(value))))
        elif hasattr(value, "copy"):
            setattr(other, name, value.copy())
    return other


class State:
    """State of the store, three routers and the network; time is counted in steps."""

    def __init__(self):
        self.now = 0
        self.revision = 1
        self.history = [(0, 1, b"v1")]
        self.changes_left = [b"v2", None]
        self.losses_left = 1
        self.requests_left = MAX_REQUESTS
        self.reads_left = 1
        self.items = {name: PrefixState() for name in ROUTERS}
        self.pending = {name: PendingSyncs() for name in ROUTERS}
        self.messages = []
        for items in self.items.values():
            items.apply_listing(Listing((KeyValue(KEY, b"v1", 1),), 1), known_at=0.0)

    def copy(self):
        """Return an independent copy; messages are immutable."""
        other = copy(self)
        other.history = list(self.history)
        other.changes_left = list(self.changes_left)
        other.messages = list(self.messages)
        other.items = {name: copied(each) for name, each in self.items.items()}
        other.pending = {name: copied(each) for name, each in self.pending.items()}
        return other

    def key(self):
        """Return a key that identifies equal states."""
        known = tuple(
            (
                each.revision,
                each.known_at,
                each.last_change_revision,
                self.value_at(each),
            )
            for each in self.items.values()
        )
        return (
            self.now,
            self.revision,
            tuple(self.changes_left),
            self.losses_left,
            self.requests_left,
            self.reads_left,
            known,
            tuple(sorted(map(repr, self.messages))),
        )

    @staticmethod
    def value_at(items):
        """Return the value of the key at a router; None if it has none."""
        return next((item.value for item in items.items), None)

    def values_since(self, time):
        """Return the values that the store has had since some time."""
        before = [value for at, _, value in self.history if at <= time][-1:]
        return before + [value for at, _, value in self.history if at > time]

    def steps(self):
        """Yield the name and the function of each possible next step."""
        if self.changes_left:
            yield "change", State.change
        if self.reads_left:
            yield "read", State.read
        if self.requests_left:
            for sender, receiver in REQUESTS:
                yield (
                    f"{sender} requests from {receiver}",
                    lambda state, a=sender, b=receiver: state.request(a, b),
                )
        for number in range(len(self.messages)):
            yield "deliver", lambda state, n=number: state.deliver(n)
            if self.losses_left:
                yield "drop", lambda state, n=number: state.drop(n)

    def change(self):
        """Apply the next change to the store."""
        value = self.changes_left.pop(0)
        self.revision += 1
        self.history.append((self.now, self.revision, value))

    def read(self):
        """Let the store send a response to the reader."""
        self.reads_left -= 1
        since = self.items[READER].revision
        events = [
            WatchEvent(
                EventKind.PUT if value is not None else EventKind.DELETE,
                KeyValue(KEY, value or b"", revision),
            )
            for _, revision, value in self.history
            if revision > since
        ]
        changes = Changes(tuple(events), self.revision)
        self.messages.append(("response", READER, changes, self.now))

    def request(self, sender, receiver):
        """Let a router send a sync request to another."""
        self.requests_left -= 1
        number = self.pending[sender].start(receiver, self.now)
        since = self.items[sender].revision
        self.messages.append(("sync-request", receiver, sender, number, since))

    def deliver(self, number):
        """Deliver a message."""
        kind, receiver, *rest = self.messages.pop(number)
        items = self.items[receiver]
        if kind == "response":
            changes, sent_at = rest
            items.apply_changes(changes, known_at=sent_at)
        elif kind == "sync-request":
            sender, sync_number, since = rest
            delta = items.delta("k", since, self.now)
            self.messages.append(("sync-reply", sender, receiver, sync_number, delta))
        else:
            sender, sync_number, delta = rest
            sent_at = self.pending[receiver].resolve(sync_number, sender)
            if sent_at is not None:
                items.apply_delta(delta, sent_at)

    def drop(self, number):
        """Drop a message."""
        self.losses_left -= 1
        self.messages.pop(number)


def explore():
    """Visit all states; return their number and the violated invariants."""
    first = State()
    seen = {first.key()}
    waiting = [(first, ())]
    violations = []
    while waiting:
        state, steps = waiting.pop()
        for name, step in state.steps():
            successor = state.copy()
            successor.now += 1
            before = {
                router: items.revision for router, items in successor.items.items()
            }
            step(successor)
            violations += violations_in(successor, before, (*steps, name))
            key = successor.key()
            if key not in seen:
                seen.add(key)
                waiting.append((successor, (*steps, name)))
    return len(seen), violations


def violations_in(state, before, steps):
    """Return the violated invariants: ages, and the order of revisions."""
    found = []
    for router, items in state.items.items():
        if items.revision < before[router]:
            found.append(("went back", router, steps))
        if State.value_at(items) not in state.values_since(items.known_at):
            found.append(("older than its age", router, steps))
    return found


class TestAllInterleavings:
    def test_state_is_never_older_than_its_age(self):
        """Delays, reordering, loss and chained replies must not hide the age."""
        states, violations = explore()
        assert states > 1_000
        assert violations == []

    def test_model_check_detects_a_delta_without_age(self, monkeypatch):
        """The check must fail for an injected fault."""
        delta = PrefixState.delta

        def fresh(items, name, since, now):
            fresh_delta = delta(items, name, since, now)
            fresh_delta.age_s = 0.0
            return fresh_delta

        monkeypatch.setattr(PrefixState, "delta", fresh)
        assert explore()[1]
