"""Stateful fuzz test of settings: patches, announcements, pulls and restarts."""

import os
from dataclasses import dataclass, field

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from step_counts import STEPS_BY_TEST

from berylwalk.router._settings_store import PlatformSettingsStore
from berylwalk.settings import (
    SETTINGS_KEY,
    Accepted,
    Edit,
    Patch,
    ReadFailed,
    SettingsDocument,
    SettingsReplica,
    SettingsTree,
    Undecided,
    submit_patch,
)
from berylwalk.settings import SubmitResult as Result
from berylwalk.standins.memory import InMemoryKeyValue

LONG = os.environ.get("BERYLWALK_FUZZ") == "long"
ROUTERS = ("r1", "r2", "r3")
AGENTS = ("a1", "a2")
NODES = ROUTERS + AGENTS
PATHS = ("/", "/a", "/a/s", "/b")
KEYS = ("weight", "max_waiting")
EDITS = st.one_of(
    st.builds(Edit, st.sampled_from(PATHS), st.sampled_from(KEYS), st.integers(1, 9)),
    st.builds(Edit, st.sampled_from(PATHS), st.sampled_from(KEYS)),
    st.builds(Edit.delete, st.sampled_from(PATHS[1:])),
)
PICK = st.integers(0, 1000)


@dataclass(slots=True)
class Node:
    """A node's replica, and what was observed of the current incarnation."""

    replica: SettingsReplica
    was_ready: bool = False
    documents: list[SettingsDocument] = field(default_factory=list)
    announced: int = 0


@dataclass(frozen=True, slots=True)
class Announcement:
    """A datagram that announces a version."""

    sender: str
    receiver: str
    version: int


@dataclass(frozen=True, slots=True)
class SentDocument:
    """A document in transit, from a peer or, if ``peer`` is empty, from the store."""

    receiver: str
    document: SettingsDocument
    peer: str = ""


class SettingsFuzz(RuleBasedStateMachine):
    """Actions of operators, nodes, the store and the network."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.key_value = InMemoryKeyValue(clock=lambda: self.now)
        self.store = PlatformSettingsStore(self.key_value)
        self.nodes_by_id = {name: self._new_node() for name in NODES}
        self.network: list[Announcement] = []
        self.documents: list[SentDocument] = []
        self.patches_by_id: dict[str, Patch] = {}
        self.results_by_id: dict[str, Result] = {}
        self.steps = 0

    # Operators

    @initialize(edits=st.lists(EDITS, min_size=2, max_size=3))
    def submit_initial_edits(self, edits):
        """Submit some changes, and push the first one to the other routers."""
        for edit in edits:
            self.submit(ROUTERS[0], edit, 0)
            for receiver in ROUTERS[1:]:
                if edit is edits[0]:
                    self.push(ROUTERS[0], receiver)
        self.deliver_documents()

    @rule(router=st.sampled_from(ROUTERS), edit=EDITS, faults=st.integers(0, 4))
    def submit(self, router, edit, faults):
        """Submit a new change through a router whose document may be outdated."""
        change_id = f"c{len(self.patches_by_id)}"
        base = self.nodes_by_id[router].replica.version
        self.patches_by_id[change_id] = Patch(change_id, base, (edit,))
        self._submit(router, change_id, faults)

    @rule(router=st.sampled_from(ROUTERS), pick=PICK, faults=st.integers(0, 4))
    def submit_again(self, router, pick, faults):
        """Resubmit a change whose outcome is undecided."""
        open_ids = [
            change_id
            for change_id, result in self.results_by_id.items()
            if isinstance(result, Undecided)
        ]
        if open_ids:
            self._submit(router, open_ids[pick % len(open_ids)], faults)

    # Store, network, time

    @rule(down=st.sampled_from((False, False, True)))
    def outage(self, down):
        """Start or end an outage of the key-value service."""
        self.key_value.down = down

    @rule(router=st.sampled_from(ROUTERS))
    def read_store(self, router):
        """Let a router read the store; the document is delivered later."""
        stored = anyio.run(self.store.get, SETTINGS_KEY)
        if not isinstance(stored, ReadFailed):
            self.documents.append(SentDocument(router, _decode(stored.value)))

    @rule(sender=st.sampled_from(NODES))
    def announce(self, sender):
        """Announce a node's version to all others."""
        version = self.nodes_by_id[sender].replica.version
        for receiver in NODES:
            if receiver != sender:
                self.network.append(Announcement(sender, receiver, version))

    @rule(pick=PICK, outcome=st.sampled_from(("deliver", "double", "drop")))
    def deliver_one_announcement(self, pick, outcome):
        """Deliver, duplicate or drop any announcement, in any order."""
        if not self.network:
            return
        index = pick % len(self.network)
        message = (
            self.network[index] if outcome == "double" else self.network.pop(index)
        )
        if outcome != "drop":
            self._deliver(message)

    @rule()
    def deliver_announcements(self):
        """Deliver the announcements in transit."""
        messages, self.network = self.network, []
        for message in messages:
            self._deliver(message)

    @rule(puller=st.sampled_from(NODES), succeeds=st.booleans())
    def pull(self, puller, succeeds):
        """Let a node pull from a peer, which may fail."""
        self._pull(puller, succeeds=succeeds)

    @rule(sender=st.sampled_from(ROUTERS), receiver=st.sampled_from(NODES))
    def push(self, sender, receiver):
        """Let a router push its document to another node."""
        document = self.nodes_by_id[sender].replica.document
        if document is not None and sender != receiver:
            self.documents.append(SentDocument(receiver, document, sender))

    @rule(pick=PICK)
    def deliver_one_document(self, pick):
        """Deliver any document, in any order."""
        if self.documents:
            self._apply_document(self.documents.pop(pick % len(self.documents)))

    @rule()
    def deliver_documents(self):
        """Deliver the documents in transit."""
        documents, self.documents = self.documents, []
        for sent in documents:
            self._apply_document(sent)

    @rule(seconds=st.sampled_from((0.1, 1.0, 4.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @rule(name=st.sampled_from(NODES))
    def restart(self, name):
        """Restart a node without its state."""
        self.nodes_by_id[name] = self._new_node()

    @rule(
        name=st.sampled_from(NODES),
        sender=st.sampled_from(NODES),
        pusher=st.sampled_from(ROUTERS),
    )
    def restart_among_peers(self, name, sender, pusher):
        """Restart a node; announce one version to it and push another."""
        self.restart(name)
        if name not in (sender, pusher):
            version = self.nodes_by_id[sender].replica.version
            self._deliver(Announcement(sender, name, version))
            self.push(pusher, name)
            self.deliver_documents()
            self.now += 4.0

    # Invariants

    @invariant()
    def versions_only_increase(self):
        """Versions only increase, and no node serves less than was announced to it."""
        for node in self.nodes_by_id.values():
            self.steps += 1
            document = node.replica.document
            if document is not None and document not in node.documents[-1:]:
                previous = node.documents[-1].version if node.documents else -1
                assert document.version > previous, "a version decreased"
                node.documents.append(document)
            if node.replica.ready_to_serve(self.now) and not node.was_ready:
                node.was_ready = True
                assert node.replica.version >= node.announced, "outdated version served"

    def teardown(self):
        """Clear all faults; assert that accepted changes take effect on every node."""
        self.key_value.down = False
        for change_id, result in list(self.results_by_id.items()):
            if isinstance(result, Undecided):
                self._submit(ROUTERS[0], change_id, 0)
        for router in ROUTERS:
            self.read_store(router)
        self.deliver_documents()
        for _ in range(4):
            self.now += 0.6
            for name in NODES:
                self.announce(name)
            self.deliver_announcements()
            for name in NODES:
                self._pull(name, succeeds=True)
            self.deliver_documents()
        self._check_changes(self.nodes_by_id[ROUTERS[0]].replica.document)
        STEPS_BY_TEST["settings"] += self.steps

    def _check_changes(self, latest: SettingsDocument) -> None:
        edits_by_version = {}
        for change_id, result in self.results_by_id.items():
            assert not isinstance(result, Undecided), "undecided by an available store"
            change = latest.find_change(change_id)
            assert (change is not None) == isinstance(result, Accepted)
            if change is not None:
                assert result.version == change.version
                edits_by_version[change.version] = self.patches_by_id[change_id]
        assert sorted(edits_by_version) == list(range(1, latest.version + 1))
        _check_no_overwrite(edits_by_version)
        expected = _replay(edits_by_version)
        for name in NODES:
            replica = self.nodes_by_id[name].replica
            assert replica.version == latest.version, "a node has an outdated version"
            if latest.version:
                _check_tree(replica.document.tree, expected)

    # Helpers

    def _new_node(self) -> Node:
        return Node(SettingsReplica(self.now))

    def _submit(self, router: str, change_id: str, faults: int) -> None:
        node = self.nodes_by_id[router]
        self.key_value.lose_answers = faults % 2
        self.key_value.lose_writes = faults // 2
        result = anyio.run(
            submit_patch, self.store, self.patches_by_id[change_id], "operator"
        )
        self.key_value.lose_answers = self.key_value.lose_writes = 0
        self.results_by_id[change_id] = result
        if isinstance(result, Accepted):
            node.replica.on_document(result.document, self.now)

    def _deliver(self, message: Announcement) -> None:
        node = self.nodes_by_id[message.receiver]
        if not node.was_ready:
            node.announced = max(node.announced, message.version)
        node.replica.on_announcement(
            message.sender,
            message.version,
            self.now,
            # Routers may pull from agents in an outage; agents pull from routers only.
            can_send=message.sender in ROUTERS or message.receiver in ROUTERS,
            is_fallback=message.sender in AGENTS,
        )

    def _pull(self, puller: str, *, succeeds: bool) -> None:
        replica = self.nodes_by_id[puller].replica
        peer = replica.start_pull(self.now, allow_fallbacks=self.key_value.down)
        if peer is None:
            return
        document = self.nodes_by_id[peer].replica.document
        if not succeeds or document is None:
            replica.on_pull_failed(peer, self.now)
        else:
            self.documents.append(SentDocument(puller, document, peer))

    def _apply_document(self, sent: SentDocument) -> None:
        replica = self.nodes_by_id[sent.receiver].replica
        if sent.peer:
            replica.on_document(sent.document, self.now, peer=sent.peer)
        else:
            replica.on_store_document(sent.document, self.now)


def _decode(value: bytes | None) -> SettingsDocument:
    return SettingsDocument.empty() if value is None else SettingsDocument.decode(value)


def _is_below(path: str, top: str) -> bool:
    return path == top or path.startswith(top.rstrip("/") + "/")


def _overlap(one: Edit, other: Edit) -> bool:
    if one.is_delete or other.is_delete:
        top, path = (one, other) if one.is_delete else (other, one)
        return _is_below(path.path, top.path) or (
            path.is_delete and _is_below(top.path, path.path)
        )
    return (one.path, one.key) == (other.path, other.key)


def _check_no_overwrite(patches_by_version: dict[int, Patch]) -> None:
    """Assert that no change overwrites one made after its base version."""
    for version, patch in patches_by_version.items():
        for unseen in range(patch.base_version + 1, version):
            (edit,), (other,) = patch.edits, patches_by_version[unseen].edits
            assert not _overlap(edit, other), "an unseen change was overwritten"


def _replay(patches_by_version: dict[int, Patch]) -> dict[str, dict[str, object]]:
    sections: dict[str, dict[str, object]] = {}
    for version in sorted(patches_by_version):
        (edit,) = patches_by_version[version].edits
        if edit.is_delete:
            sections = {
                p: v for p, v in sections.items() if not _is_below(p, edit.path)
            }
        elif isinstance(edit.value, int):
            sections.setdefault(edit.path, {})[edit.key] = edit.value
        else:
            sections.get(edit.path, {}).pop(edit.key, None)
    return sections


def _check_tree(tree: SettingsTree, sections: dict[str, dict[str, object]]) -> None:
    """Compare the lookup with values inherited down the paths."""
    for path in PATHS:
        values: dict[str, object] = {}
        for top in PATHS:
            if _is_below(path, top):
                values.update(sections.get(top, {}))
        for key in KEYS:
            assert tree.lookup(path, key) == values.get(key), "wrong effective value"


class RouterReplacementFuzz(SettingsFuzz):
    """Also replaces all routers; separate, because it drops messages in transit."""

    @rule()
    def replace_routers(self):
        """Replace all routers in an outage, when only agents have the settings."""
        self.key_value.down = True
        for router in ROUTERS:
            self.restart(router)
        self.network, self.documents = [], []
        for _ in range(2 * len(AGENTS)):
            for agent in AGENTS:
                self.announce(agent)
            self.deliver_announcements()
            for router in ROUTERS:
                self._pull(router, succeeds=True)
            self.deliver_documents()
            self.now += 2.0
        known = max(self.nodes_by_id[agent].replica.version for agent in AGENTS)
        for router in ROUTERS:
            replica = self.nodes_by_id[router].replica
            assert replica.version == known, "a router lacks the version of the agents"
            is_served = replica.ready_to_serve(self.now)
            assert is_served == (replica.document is not None), "readiness mismatch"


FUZZ_SETTINGS = settings(
    max_examples=2000 if LONG else 250,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
)
SettingsFuzz.TestCase.settings = FUZZ_SETTINGS
RouterReplacementFuzz.TestCase.settings = FUZZ_SETTINGS
TestSettingsFuzz = SettingsFuzz.TestCase
TestRouterReplacementFuzz = RouterReplacementFuzz.TestCase
