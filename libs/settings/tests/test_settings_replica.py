"""A node's copy of the settings through restarts and outages."""

from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.settings import SettingsDocument, SettingsReplica, SettingsTree


def _document(version):
    return SettingsDocument(version, SettingsTree({}))


events = st.lists(
    st.tuples(
        st.sampled_from(["announce", "document", "store", "fail", "gone", "pull"]),
        st.sampled_from("pqr"),
        st.integers(0, 5),
        st.floats(0, 3),
    ),
    max_size=40,
)


class TestRestart:
    def test_waits_for_the_highest_version_heard(self):
        """After listening, a node pulls from the peer that is furthest."""
        replica = SettingsReplica(0.0, listen_s=3.0)
        replica.on_announcement("p", 4, 0.1)
        assert replica.start_pull(0.1) == "p"
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(0.2)
        replica.on_announcement("q", 5, 2.9)
        assert not replica.ready_to_serve(3.0)
        assert replica.start_pull(3.0) == "q"
        replica.on_document(_document(5), 3.1, peer="q")
        assert replica.ready_to_serve(3.1)

    def test_does_not_serve_below_a_version_of_a_lost_peer(self):
        """The only peer with the version is gone: wait for the store."""
        replica = SettingsReplica(0.0, listen_s=1.0)
        replica.on_announcement("p", 5, 0.1)
        replica.on_peer_left("p")
        replica.on_announcement("q", 4, 0.2)
        replica.on_document(_document(4), 0.3, peer="q")
        assert not replica.ready_to_serve(1000.0)
        replica.on_store_document(_document(5), 1000.0)
        assert replica.ready_to_serve(1000.0)

    def test_ready_at_once_after_reading_the_store(self):
        """The store holds the latest version, so there is nothing to listen for."""
        replica = SettingsReplica(0.0)
        replica.on_store_document(SettingsDocument.empty(), 0.1)
        assert replica.ready_to_serve(0.1)

    def test_ready_at_once_after_all_seeds(self):
        """When every seed was heard, listening on brings nothing."""
        replica = SettingsReplica(0.0, seeds=("p", "q"))
        replica.on_announcement("p", 4, 0.1)
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(0.2)
        replica.on_announcement("q", 3, 0.3)
        assert replica.ready_to_serve(0.3)

    def test_a_seed_that_is_not_ready_makes_nobody_ready(self):
        """Routers that were all replaced know no more of each other's past."""
        replica = SettingsReplica(0.0, seeds=("p",), listen_s=3.0)
        replica.on_announcement("p", 4, 0.1, is_settled=False)
        replica.on_document(_document(4), 0.2, peer="p")
        assert not replica.ready_to_serve(2.9)
        assert replica.ready_to_serve(3.0)


class TestPull:
    def test_failed_and_silent_peers_are_left(self):
        """Another peer is asked when one fails, does not answer or holds less."""
        replica = SettingsReplica(0.0, pull_timeout_s=2.0, retry_s=10.0)
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
        """A peer that fell silent is left until it is heard again."""
        replica = SettingsReplica(0.0, peer_timeout_s=5.0)
        replica.on_announcement("p", 9, 0.0)
        assert replica.start_pull(5.0) is None

    def test_peer_that_cannot_send_counts_but_is_not_asked(self):
        """A version is heard of from any peer, but pulled only where it can be."""
        replica = SettingsReplica(0.0, listen_s=0.0)
        replica.on_announcement("agent", 9, 0.0, can_send=False)
        assert replica.start_pull(0.0) is None
        replica.on_store_document(_document(8), 0.1)
        assert not replica.ready_to_serve(0.1)

    def test_nodes_ask_different_peers(self):
        """Nodes that hear of a version at once do not all ask one peer."""
        asked = set()
        for number in range(40):
            replica = SettingsReplica(0.0, node_id=f"node-{number}")
            for peer in "pqrs":
                replica.on_announcement(peer, 4, 0.1)
            asked.add(replica.start_pull(0.1))
        assert asked == set("pqrs")


class TestServing:
    def test_stops_behind_a_reachable_peer_only(self):
        """A node that cannot catch up stops, unless nobody has the version."""
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
    def test_never_goes_back(self, events):
        """Versions only rise, and the first is served when it is the highest."""
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
            elif kind == "gone":
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
