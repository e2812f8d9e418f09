"""A decided roll-out after the store comes back from a copy that lacks the decision.

Guards against a roll-out that begins again: the operator's order is written again with
another revision, and the record is older or missing.
"""

from json import loads

import pytest
from anyio import sleep

from berylwalk.rollout import AnswerKind, ExposureRules
from virtual_rollout import (
    NEW,
    ORDER_KEY,
    STATUS_KEY,
    RolloutSimulation,
    VersionDefect,
)

RECORD_KEY = b"berylwalk/rollouts/s"
BAD = VersionDefect(share=0.8)
OPERATOR_LATER_S = 2.5
"""Time by which the operator writes later than the targets."""
COPIES = ["before-order", "canary", "decided"]


class DecidedSimulation(RolloutSimulation):
    """A roll-out, and a restore of the store one second after its decision.

    Parameters
    ----------
    copied : str
        When the copy was made.
    restarts : bool
        Whether a router is restarted during the restore.
    written_after_s : float
        Time after which the targets write again, in seconds.
    is_early : bool
        Whether the store is restored while the version is still tried.
    """

    def __init__(self, *, copied, restarts, written_after_s, is_early, **options):
        super().__init__(7, routers=4, engines=9, **options)
        self.copied = copied
        self.restarts = restarts
        self.written_after_s = written_after_s
        self.is_early = is_early
        self.arrived = {}
        self.is_restored = False

    async def _operate(self):
        self.copies = {"before-order": self.store.take_copy()}
        self.tasks.start_soon(self._restore_once_decided)
        await super()._operate()

    async def _restore_once_decided(self):
        await sleep(1.5)
        self.copies["canary"] = self.store.take_copy()
        while not self.is_early and self.results.state not in ("completed", "reverted"):
            await sleep(0.01)
        await sleep(1.0)
        self.copies["decided"] = self.store.take_copy()
        if self.restarts:
            self.kill(["r-00"])
        self.store.down = True
        await sleep(1.0)
        self.store.restore(self.copies[self.copied])
        self.store.down = False
        self.is_restored = True
        self.results.kinds.clear()
        await sleep(self.written_after_s)
        for engine in self.engines_by_id.values():
            if engine.is_up:
                engine.enlist()
            else:
                engine.delist()
        await sleep(OPERATOR_LATER_S)
        self.arrived_before_order = dict(self.arrived)
        self._write_configuration()
        self.order()

    async def _drain_new(self):
        """Leave the targets of a reverted version running."""

    def count_arrival(self, engine, router):
        super().count_arrival(engine, router)
        if self.is_restored:
            self.arrived[engine.version] = self.arrived.get(engine.version, 0) + 1

    def stored(self, key):
        """Return a stored value."""
        item = self.store.items.get(key)
        return {} if item is None else loads(item.value)


def simulate(
    defect,
    *,
    copied,
    restarts=False,
    written_after_s=2.0,
    is_early=False,
    **options,
):
    """Return a simulation that has run."""
    simulation = DecidedSimulation(
        copied=copied,
        restarts=restarts,
        written_after_s=written_after_s,
        is_early=is_early,
        version_defect=defect,
        **options,
    )
    simulation.simulate()
    assert simulation.is_restored
    return simulation


class TestRolloutInProgress:
    """The order is missing for some seconds."""

    @pytest.mark.parametrize("restarts", [False, True])
    def test_version_keeps_to_its_share_without_the_order(self, restarts):
        simulation = simulate(
            VersionDefect(),
            copied="before-order",
            restarts=restarts,
            is_early=True,
            period_s=30.0,
        )
        arrived = simulation.arrived_before_order
        rules = ExposureRules()
        allowed = rules.share * sum(arrived.values()) + rules.slack
        assert arrived.get(NEW, 0) <= allowed

    def test_version_is_completed(self):
        simulation = simulate(VersionDefect(), copied="before-order", is_early=True)
        assert simulation.results.state == "completed"


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("copied", COPIES)
class TestDecidedRollout:
    """The decision holds, and is written again."""

    def test_reverted_version_is_not_exposed_again(self, copied, restarts):
        simulation = simulate(BAD, copied=copied, restarts=restarts)
        assert simulation.arrived.get(NEW, 0) == 0

    def test_revert_is_written_again(self, copied, restarts):
        simulation = simulate(BAD, copied=copied, restarts=restarts)
        record, store = simulation.stored(RECORD_KEY), simulation.store
        assert record["phase"] == "reverted"
        assert record["order_revision"] == store.items[ORDER_KEY].mod_revision
        assert simulation.stored(STATUS_KEY)["state"] == "reverted"

    def test_completed_version_stays_alone_in_service(self, copied, restarts):
        """The copy lists old targets that are gone."""
        simulation = simulate(VersionDefect(), copied=copied, restarts=restarts)
        if not restarts or copied != "before-order":
            # Without the new targets, a router that starts has only the old ones.
            assert simulation.results.kinds[AnswerKind.FAILED] == 0
        assert simulation.arrived.keys() == {NEW}

    def test_completion_is_written_again(self, copied, restarts):
        simulation = simulate(VersionDefect(), copied=copied, restarts=restarts)
        record, store = simulation.stored(RECORD_KEY), simulation.store
        assert record["phase"] == "completed"
        assert record["order_revision"] == store.items[ORDER_KEY].mod_revision
        assert simulation.stored(STATUS_KEY)["state"] == "completed"
