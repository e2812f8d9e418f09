"""Decisions on a roll-out by a router that has just started."""

from types import SimpleNamespace

from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._rollout_coordinator import RolloutCoordinator
from berylwalk.dispatch import Peer, PeerTable
from berylwalk.rollout import ExposureRules, Order, Phase, Record, Rollouts

ORDER = Order(service="s", version="v2", period_s=12.0, revision=57)


def started():
    """Return a coordinator whose router has read a roll-out that is shifting."""
    context = SimpleNamespace(
        rollouts=Rollouts(ExposureRules(), router="r/1"),
        peers=PeerTable("r"),
        clock=lambda: 0.0,
    )
    rollouts = context.rollouts
    rollouts.set_orders([ORDER], 0.0)
    for version in ("v1", "v2"):
        rollouts.versions.record_version("s", version, 10)
    record = Record("v2", 57, Phase.SHIFTING, 2, 0.0, period_s=12.0)
    rollouts.merge_record("s", record, 0.0)
    coordinator = RolloutCoordinator(
        context, store=None, store_health=None, shared_reads=None, role=ReadRole()
    )
    return coordinator, context


def next_phase(coordinator, context, now):
    """Return the phase that the router would write; None to stay."""
    record = coordinator._next_record(context.rollouts.progress("s"), now)
    return None if record is None else record.phase


class TestCompletion:
    """The old version counts as left once no router sends to it."""

    def test_router_that_has_not_listed_the_others_does_not_complete_alone(self):
        """They may still have requests at the old version."""
        coordinator, context = started()
        assert next_phase(coordinator, context, 1.0) is None

    def test_listed_router_that_was_not_heard_is_awaited(self):
        coordinator, context = started()
        context.peers.replace([Peer("q", "10.0.0.2", 1, "q/1")], 1.0)
        assert next_phase(coordinator, context, 1.0) is None

    def test_only_router_completes(self):
        coordinator, context = started()
        context.peers.replace([], 1.0)
        assert next_phase(coordinator, context, 1.0) is Phase.COMPLETED
