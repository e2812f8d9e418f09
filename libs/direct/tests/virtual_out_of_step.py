"""Simulation of routers that are out of step while targets of a new version join.

Routers are cut off from the store, from other routers, or from both; callers and
targets reach them all the time.
"""

from collections import Counter

from anyio import sleep

from virtual_version_changes import VersionChanges

CUT_SHARE = 0.4
"""Share of the streams that break after half of their events."""
STARTED_S = 4.0
"""Time in which the routers that start together have listed each other."""
NOTICED_S = 4.0
"""Time in which all routers have noticed that the store is away."""
JOINED_S = 4.0
"""Time for which callers come back while a router is out of step."""
BACK_S = 1.0
"""Time after which streams are taken up as before the cut."""


class OutOfStep(VersionChanges):
    """A fleet some of whose routers are cut off while a version joins.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    cut : callable
        Function of the simulation that cuts routers off.
    joins : bool
        Whether a version joins meanwhile.
    options : dict
        As of `VersionChanges`.

    Attributes
    ----------
    sides : list of set of str
        Groups of routers; messages between two of them are lost.
    deaf, mute : set of str
        Routers that receive no message, and those of which no message arrives.
    out_of_step, in_step_again : Counter
        Streams that are taken up while routers are cut off, and after that, by whether
        they went on.
    """

    def __init__(self, seed, *, cut, joins=True, **options):
        options = {
            "routers": 4,
            "duration_s": 17.0,
            "requests_per_s": 50.0,
            "script": OutOfStep.run_cut,
            **options,
        }
        super().__init__(seed, troubles=(), **options)
        self._cut_routers = cut
        self._joins = joins
        self._counter = None
        self.out_of_step, self.in_step_again = Counter(), Counter()
        self.sides = []
        self.deaf, self.mute = set(), set()
        for target in self.targets:
            target.cut_share = CUT_SHARE

    @property
    def names(self):
        """Names of all routers."""
        return sorted(self.domains_by_name)

    async def run_cut(self):
        """Cut routers off, let a version join, and end all cuts."""
        await sleep(STARTED_S)
        self._cut_routers(self)
        if self.joining:
            await self.join()
        await sleep(NOTICED_S)
        self._counter = self.out_of_step
        if self._joins:
            self.start_version()
        await sleep(JOINED_S)
        self._counter = None
        self.store.unreachable_from.clear()
        self.sides.clear()
        self.deaf.clear()
        self.mute.clear()
        await sleep(BACK_S)
        self._counter = self.in_step_again

    def cut_from_store(self, names):
        """Let the store get no calls of some routers."""
        self.store.unreachable_from |= {self.store_host(name) for name in names}

    def cut_from_others(self, names):
        """Lose the messages between some routers and the others."""
        self.sides.append(set(names))

    def send_datagram(self, sender, receiver, data):
        """Deliver a datagram, unless something cuts its way."""
        is_between = any((sender in side) != (receiver in side) for side in self.sides)
        if not is_between and sender not in self.mute and receiver not in self.deaf:
            super().send_datagram(sender, receiver, data)

    def start_version(self):
        """Start targets of a new version, whose streams break like the others."""
        before = len(self.targets)
        super().start_version()
        for target in self.targets[before:]:
            target.cut_share = CUT_SHARE

    def judge_try(self, router, stream):
        """Count the streams that are taken up."""
        on_ended = super().judge_try(router, stream)
        counter = self._counter if stream.last_event_id else None

        def on_counted(caller):
            if counter is not None:
                counter[caller.had_events or stream.is_complete] += 1
            on_ended(caller)

        return on_counted


def share_gone_on(counter):
    """Return the share of the streams taken up that went on."""
    return counter[True] / counter.total()
