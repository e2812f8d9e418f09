"""Settings replica during restarts, pulls and outages."""

from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.settings import SettingsDocument, SettingsReplica, SettingsTree


def _document(version):
    return SettingsDocument(version, SettingsTree({}))


events = st.lists(
    st.tuples(
        st.sampled_from(["announce", "document", "store", "fail", "leave", "pull"]),
        st.sampled_from("pqr"),
        st.integers(0, 5),
        st.floats(0, 3),
    ),
    max_size=40,
)


class TestRestart:
    def test_waits_for_highest_announced_version(self):
        """A replica must not become ready below the highest announced version."""
        replica = SettingsReplica(0.0, listen_period_s=3.0)
        replica.on_announcement("p", 4, 0.1)
        assert replica.start_pull(0.1) == "p"
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(0.2)
        replica.on_announcement("q", 5, 2.9)
        assert not replica.ready_to_serve(3.0)
        assert replica.start_pull(3.0) == "q"
        replica.on_document(_document(5), 3.1, peer="q")
        assert replica.ready_to_serve(3.1)

    def test_not_ready_below_version_of_departed_peer(self):
        """A version counts even if the only peer that announced it has left."""
        replica = SettingsReplica(0.0, listen_period_s=1.0)
        replica.on_announcement("p", 5, 0.1)
        replica.on_peer_left("p")
        replica.on_announcement("q", 4, 0.2)
        replica.on_document(_document(4), 0.3, peer="q")
        assert not replica.ready_to_serve(1000.0)
        replica.on_store_document(_document(5), 1000.0)
        assert replica.ready_to_serve(1000.0)

    def test_ready_immediately_after_store_read(self):
        """The store holds the latest version, so no listening period is needed."""
        replica = SettingsReplica(0.0)
        replica.on_store_document(SettingsDocument.empty(), 0.1)
        assert replica.ready_to_serve(0.1)

    def test_ready_immediately_after_all_seeds(self):
        """The listening period ends when every seed has announced its version."""
        replica = SettingsReplica(0.0, seeds=("p", "q"))
        replica.on_announcement("p", 4, 0.1)
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(0.2)
        replica.on_announcement("q", 3, 0.3)
        assert replica.ready_to_serve(0.3)

    def test_unsettled_seed_does_not_end_listening(self):
        """Routers restarted together must not confirm each other's old version."""
        replica = SettingsReplica(0.0, seeds=("p",), listen_period_s=3.0)
        replica.on_announcement("p", 4, 0.1, is_settled=False)
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(2.9)
        assert replica.ready_to_serve(3.0)


class TestPull:
    def test_another_peer_is_asked_after_failure(self):
        """A failed, unresponsive or outdated peer must not block the pull."""
        replica = SettingsReplica(0.0, pull_timeout_s=2.0, retry_delay_s=10.0)
        for peer, version in (("p", 9), ("q", 8), ("r", 7)):
            replica.on_announcement(peer, version, 0.0)
        assert replica.start_pull(0.0) == "p"
        assert replica.start_pull(1.9) is None
        assert replica.start_pull(2.0) == "q"
        replica.on_pull_failed("q", 2.1)
        assert replica.start_pull(2.1) == "r"
        replica.on_document(_document(6), 2.2, peer="r")
        assert replica.start_pull(2.2) is None
        assert not replica.on_document(_document(6), 2.3)
        assert not replica.on_store_document(_document(5), 2.3)
        assert replica.version == 6

    def test_unreachable_peer_is_not_asked(self):
        """A peer without recent announcements is not asked."""
        replica = SettingsReplica(0.0, peer_timeout_s=5.0)
        replica.on_announcement("p", 9, 0.0)
        assert replica.start_pull(5.0) is None

    def test_version_of_peer_that_cannot_send_counts(self):
        """A peer that cannot send its document is not asked, but blocks readiness."""
        replica = SettingsReplica(0.0, listen_period_s=0.0)
        replica.on_announcement("agent", 9, 0.0, can_send=False)
        assert replica.start_pull(0.0) is None
        replica.on_store_document(_document(8), 0.1)
        assert not replica.ready_to_serve(0.1)

    def test_nodes_ask_different_peers(self):
        """The pulls of many nodes are distributed over the peers."""
        asked = set()
        for number in range(40):
            replica = SettingsReplica(0.0, node_id=f"node-{number}")
            for peer in "pqrs":
                replica.on_announcement(peer, 4, 0.1)
            asked.add(replica.start_pull(0.1))
        assert asked == set("pqrs")


class TestServing:
    def test_not_ready_when_behind_reachable_peer(self):
        """A replica that cannot catch up loses readiness only to a reachable peer."""
        replica = SettingsReplica(0.0, max_behind_s=5.0, peer_timeout_s=4.0)
        replica.on_store_document(_document(1), 0.0)
        assert replica.ready_to_serve(0.0)
        replica.on_announcement("p", 2, 1.0)
        assert replica.ready_to_serve(5.9)
        replica.on_announcement("p", 2, 5.9)
        assert not replica.ready_to_serve(6.0)
        assert replica.ready_to_serve(9.9)
        replica.on_announcement("p", 2, 10.0)
        replica.on_document(_document(2), 10.0, peer="p")
        assert replica.ready_to_serve(10.0)

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(events)
    def test_version_never_decreases(self, events):
        """Versions only increase, and the first one served is the highest known."""
        replica = SettingsReplica(0.0)
        now, version, highest, has_served = 0.0, 0, 0, False
        for kind, peer, number, pause in events:
            now += pause
            if kind == "announce":
                replica.on_announcement(peer, number, now)
            elif kind == "document":
                replica.on_document(_document(number), now, peer=peer)
            elif kind == "store":
                replica.on_store_document(_document(number), now)
            elif kind == "fail":
                replica.on_pull_failed(peer, now)
            elif kind == "leave":
                replica.on_peer_left(peer)
            else:
                replica.start_pull(now)
            if kind in ("announce", "document", "store"):
                highest = max(highest, number)
            assert replica.version >= version
            version = replica.version
            assert replica.highest_known_version == highest
            if replica.ready_to_serve(now):
                assert has_served or version == highest
                has_served = True
