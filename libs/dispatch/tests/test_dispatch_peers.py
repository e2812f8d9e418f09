"""Who is told directly, who through a relay, and who relays."""

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
    """Return the table of router a-1 in a fleet of three failure domains."""
    peers = PeerTable("a-1", "fd-a")
    for domain in DOMAINS:
        for number in range(3):
            name = f"{domain[-1]}-{number}"
            if name != "a-1":
                peer = Peer(name, "127.0.0.1", 1, "life", domain, sequence=1)
                peers.record_message(peer, 0.0)
    return peers


class TestNear:
    """Peers that are told directly."""

    def test_all_of_a_small_fleet(self):
        """A few messages more cost less than what a relay adds in delay."""
        peers = PeerTable("a-1", "fd-a")
        peers.record_message(
            Peer("b-1", "127.0.0.1", 1, "life", "fd-b", sequence=1), 0.0
        )
        assert [peer.name for peer in peers.direct_peers()] == ["b-1"]
        assert peers.relayed_domains() == set()

    def test_own_failure_domain_of_a_large_one(self, large):
        """The others are told through relays."""
        assert {peer.name for peer in large.direct_peers()} == {"a-0", "a-2"}
        assert large.relayed_domains() == {"fd-b", "fd-c"}

    def test_far_peers_may_be_silent_for_longer(self, large):
        """Their relay may have to be replaced meanwhile."""
        assert large.alive_count(1.0) == 1 + 6
        assert large.alive_count(2.0) == 1


class TestRelay:
    """The router that speaks for its failure domain."""

    def test_first_that_is_heard(self, large):
        """Each router finds the same one without asking."""
        assert not large.is_relay(0.1)
        assert large.is_relay(1.0)
        assert large.relay_of("fd-b", 0.1).name == "b-0"

    def test_silent_receiver_is_passed_over(self, large):
        """The next one of its failure domain is told."""
        large.record_message(
            Peer("b-1", "127.0.0.1", 1, "life", "fd-b", sequence=2), 1.5
        )
        assert large.relay_of("fd-b", 2.0).name == "b-1"

    def test_any_while_none_is_heard(self, large):
        """So that two failure domains find each other again."""
        chosen = large.relay_of("fd-b", 9.0, pick=lambda peers: peers[-1])
        assert chosen.failure_domain == "fd-b"
        assert large.relay_of("fd-x", 9.0) is None


class TestLoads:
    """Loads of a whole failure domain."""

    def test_sum_of_own_and_near(self):
        """What a relay tells counts each request once."""
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
    def test_remote_targets_are_dearer_when_loads_are_relayed(
        self, is_relayed, expected
    ):
        """What is known of them is older, and many would go there at once."""
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
        # The own one is slower than the remote one by a factor of two.
        for name, fixed_s in (("own", 0.2), ("far", 0.1)):
            targets.by_id[name].fixed_s = fixed_s
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        dispatcher.set_relayed(is_relayed)
        pending = PendingRequest(
            service="s", rank=(0, 0), work=Work(10, 1), on_placed=lambda target: None
        )
        assert dispatcher.submit(pending, 0.0).entry.target_id == expected
