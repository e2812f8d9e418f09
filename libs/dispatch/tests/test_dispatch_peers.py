"""Direct peers, relays and aggregated loads."""

import pytest

from berylwalk.dispatch import (
    Dispatcher,
    Peer,
    PeerTable,
    PendingRequest,
    TargetEntry,
    TargetState,
    TargetTable,
    Work,
)

DOMAINS = ("fd-a", "fd-b", "fd-c")


@pytest.fixture
def large():
    """Return the peer table of router a-1 in a fleet of three failure domains."""
    peers = PeerTable("a-1", "fd-a")
    for domain in DOMAINS:
        for number in range(3):
            name = f"{domain[-1]}-{number}"
            if name != "a-1":
                peer = Peer(name, "127.0.0.1", 1, "life", domain, sequence=1)
                peers.record_message(peer, 0.0)
    return peers


class TestDirectPeers:
    """Peers that receive messages directly."""

    def test_small_fleet_is_a_full_mesh(self):
        """Relays would add delay without saving many messages."""
        peers = PeerTable("a-1", "fd-a")
        peers.record_message(
            Peer("b-1", "127.0.0.1", 1, "life", "fd-b", sequence=1), 0.0
        )
        assert [peer.name for peer in peers.direct_peers()] == ["b-1"]
        assert peers.relayed_domains() == set()

    def test_large_fleet_is_direct_within_a_failure_domain(self, large):
        """Other failure domains are reached through relays."""
        assert {peer.name for peer in large.direct_peers()} == {"a-0", "a-2"}
        assert large.relayed_domains() == {"fd-b", "fd-c"}

    def test_relayed_peers_have_a_longer_timeout(self, large):
        """Their relay may have to be replaced first."""
        assert large.alive_count(1.0) == 1 + 6
        assert large.alive_count(2.0) == 1


class TestRelay:
    """Relay of a failure domain."""

    def test_relay_is_the_first_live_router(self, large):
        """All routers choose the same relay without coordination."""
        assert not large.is_relay(0.1)
        assert large.is_relay(1.0)
        assert large.relay_of("fd-b", 0.1).name == "b-0"

    def test_silent_relay_is_replaced(self, large):
        """Messages go to the next live router of the failure domain."""
        large.record_message(
            Peer("b-1", "127.0.0.1", 1, "life", "fd-b", sequence=2), 1.5
        )
        assert large.relay_of("fd-b", 2.0).name == "b-1"

    def test_any_router_while_none_is_alive(self, large):
        """Failure domains must find each other again after a partition."""
        chosen = large.relay_of("fd-b", 9.0, pick=lambda peers: peers[-1])
        assert chosen.failure_domain == "fd-b"
        assert large.relay_of("fd-x", 9.0) is None


class TestLoads:
    """Loads of a failure domain."""

    def test_own_and_direct_loads_are_summed(self):
        """A relay must count each request once."""
        targets = TargetTable()
        entry = TargetEntry(
            target_id="t",
            service="s",
            host="127.0.0.1",
            port=1,
            failure_domain="fd-a",
            slots=4,
            state=TargetState.READY,
        )
        targets.replace([entry], 0.0)
        targets.by_id["t"].note_sent(Work(10, 1), 0.0)
        targets.replace_peer_loads("a-0", {"t": (2, 20), "unlisted": (1, 5)})
        targets.replace_peer_loads("failure-domain fd-b", {"t": (4, 40)})
        assert targets.total_loads(["a-0", "a-2"]) == {"t": (3, 30), "unlisted": (1, 5)}
        assert targets.by_id["t"].total_in_flight == 7

    @pytest.mark.parametrize(
        ("is_relayed", "expected"), [(False, "far"), (True, "own")]
    )
    def test_remote_targets_cost_more_when_loads_are_relayed(
        self, is_relayed, expected
    ):
        """Relayed loads are older, so many routers could pick one target at once."""
        targets = TargetTable()
        entries = [
            TargetEntry(
                target_id=name,
                service="s",
                host="127.0.0.1",
                port=1,
                failure_domain=domain,
                slots=4,
                state=TargetState.READY,
            )
            for name, domain in (("own", "fd-a"), ("far", "fd-b"))
        ]
        targets.replace(entries, 0.0)
        # The local target is slower than the remote one by a factor of two.
        for name, fixed_s in (("own", 0.2), ("far", 0.1)):
            targets.by_id[name].fixed_s = fixed_s
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        dispatcher.set_relayed(is_relayed)
        pending = PendingRequest(
            service="s", rank=(0, 0), work=Work(10, 1), on_placed=lambda target: None
        )
        assert dispatcher.submit(pending, 0.0).entry.target_id == expected
