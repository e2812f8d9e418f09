"""All courses of the passing on, for three routers, two changes and one loss.

An explorer of states: from each state every step that may come next is taken, and what
must hold is looked at in each. The store changes twice; one router reads it, two ask
that one or each other, and any message or answer may be on its way for as long as it
likes or, once, be lost. Steps of the routers are those of the code itself.
"""

from copy import copy
from itertools import count

from berylwalk.platform import Changes, EventKind, KeyValue, Listing, WatchEvent
from berylwalk.reading import PendingSyncs, PrefixState

KEY = b"k"
ROUTERS = ("r0", "r1", "r2")
READER = "r0"
ASKS = (("r1", "r0"), ("r2", "r0"), ("r2", "r1"))
"""Who asks whom: the reader, or one who was told."""
MOST_ASKS = 2
"""Questions in one course."""


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
    """The store, three routers and what is on its way; time is counted in steps."""

    def __init__(self):
        self.now = 0
        self.revision = 1
        self.history = [(0, 1, b"v1")]
        self.changes_left = [b"v2", None]
        self.losses_left = 1
        self.asks_left = MOST_ASKS
        self.reads_left = 1
        self.items = {name: PrefixState() for name in ROUTERS}
        self.pending = {name: PendingSyncs() for name in ROUTERS}
        self.messages = []
        for items in self.items.values():
            items.apply_listing(Listing((KeyValue(KEY, b"v1", 1),), 1), known_at=0.0)

    def copy(self):
        """Return a state that goes on by itself; messages are never changed."""
        other = copy(self)
        other.history = list(self.history)
        other.changes_left = list(self.changes_left)
        other.messages = list(self.messages)
        other.items = {name: copied(each) for name, each in self.items.items()}
        other.pending = {name: copied(each) for name, each in self.pending.items()}
        return other

    def key(self):
        """Return what tells this state from others."""
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
            self.asks_left,
            self.reads_left,
            known,
            tuple(sorted(map(repr, self.messages))),
        )

    @staticmethod
    def value_at(items):
        """Return what a router believes of the key; None if it is not there."""
        return next((item.value for item in items.items), None)

    def truths_since(self, time):
        """Return what the store held at some time since a moment."""
        before = [value for at, _, value in self.history if at <= time][-1:]
        return before + [value for at, _, value in self.history if at > time]

    def steps(self):
        """Yield the name of each step that may come next, and its function."""
        if self.changes_left:
            yield "change", State.change
        if self.reads_left:
            yield "read", State.read
        if self.asks_left:
            for asker, asked in ASKS:
                yield (
                    f"{asker} asks {asked}",
                    lambda state, a=asker, b=asked: state.ask(a, b),
                )
        for number in range(len(self.messages)):
            yield "deliver", lambda state, n=number: state.deliver(n)
            if self.losses_left:
                yield "lose", lambda state, n=number: state.lose(n)

    def change(self):
        """Let the store change."""
        value = self.changes_left.pop(0)
        self.revision += 1
        self.history.append((self.now, self.revision, value))

    def read(self):
        """Let the reader be answered by the store; the answer is on its way."""
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
        self.messages.append(("answer", READER, changes, self.now))

    def ask(self, asker, asked):
        """Let a router ask another one."""
        self.asks_left -= 1
        number = self.pending[asker].start(asked, self.now)
        since = self.items[asker].revision
        self.messages.append(("ask", asked, asker, number, since))

    def deliver(self, number):
        """Let a message arrive."""
        kind, receiver, *rest = self.messages.pop(number)
        items = self.items[receiver]
        if kind == "answer":
            changes, asked_at = rest
            items.apply_changes(changes, known_at=asked_at)
        elif kind == "ask":
            asker, ask_number, since = rest
            word = items.delta("k", since, self.now)
            self.messages.append(("tell", asker, receiver, ask_number, word))
        else:
            sender, ask_number, word = rest
            asked_at = self.pending[receiver].resolve(ask_number, sender)
            if asked_at is not None:
                items.apply_delta(word, asked_at)

    def lose(self, number):
        """Let a message be lost."""
        self.losses_left -= 1
        self.messages.pop(number)


def explore():
    """Visit all states; return their number and what did not hold."""
    first = State()
    seen = {first.key()}
    waiting = [(first, ())]
    findings = []
    while waiting:
        state, course = waiting.pop()
        for name, step in state.steps():
            following = state.copy()
            following.now += 1
            before = {
                router: items.revision for router, items in following.items.items()
            }
            step(following)
            findings += findings_in(following, before, (*course, name))
            key = following.key()
            if key not in seen:
                seen.add(key)
                waiting.append((following, (*course, name)))
    return len(seen), findings


def findings_in(state, before, course):
    """Return what does not hold: ages, and the order of revisions."""
    found = []
    for router, items in state.items.items():
        if items.revision < before[router]:
            found.append(("went back", router, course))
        if State.value_at(items) not in state.truths_since(items.known_at):
            found.append(("older than it says", router, course))
    return found


class TestAllCourses:
    def test_no_belief_is_older_than_it_says(self):
        """Whatever is late, overtaken, lost, or told by one who was told."""
        states, findings = explore()
        assert states > 1_000
        assert findings == []

    def test_explorer_sees_a_word_without_age(self, monkeypatch):
        """A fault of the kind that it is there for."""
        word = PrefixState.delta

        def fresh(items, name, since, now):
            told = word(items, name, since, now)
            told.age_s = 0.0
            return told

        monkeypatch.setattr(PrefixState, "delta", fresh)
        assert explore()[1]
