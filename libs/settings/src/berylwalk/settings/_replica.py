"""Replica of the settings document, updated from peers and the store."""

from dataclasses import dataclass
from hashlib import blake2b

from berylwalk.settings._document import SettingsDocument

LISTEN_PERIOD_S = 3.0
PEER_TIMEOUT_S = 5.0
PULL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.5
MAX_BEHIND_S = 5.0


@dataclass(slots=True)
class _Peer:
    version: int
    last_heard_at: float
    can_send: bool
    is_fallback: bool
    retry_at: float = 0.0
    failures: int = 0


class SettingsReplica:
    """State machine that tracks the highest settings version; performs no I/O.

    After a start, the replica becomes ready when its document can be assumed to be
    the latest: the store has been read, all ``seeds`` have announced a confirmed
    version, or ``listen_period_s`` has passed. It must also hold the highest
    announced version, even if every peer that announced it has left: the node may
    have applied that version before a restart and must not revert it.

    A replica that has become ready remains so while it catches up, and loses
    readiness when it stays behind a reachable peer for longer than ``max_behind_s``.
    If no reachable peer has the higher version, the replica stays ready with its own:
    this node has not applied the higher version, so nothing is reverted, and an
    outage of the store does not stop the fleet.

    A *fallback* is a peer that is asked only on request and only if no other peer
    with a higher version can be asked. Being behind a fallback does not affect
    readiness, because a peer of another release may not respond. The first
    announcement of a fallback extends the initial listening period, because further
    fallbacks may announce higher versions.

    Parameters
    ----------
    started_at : float
        Monotonic clock, in seconds.
    node_id : str
        Identifier of this node. It determines which of several equal peers is
        asked, to distribute the requests of a fleet over the peers.
    seeds : iterable of str
        Peers that are expected to announce their version.
    listen_period_s, peer_timeout_s, pull_timeout_s, retry_delay_s, max_behind_s : float
        Durations in seconds: initial listening period, time without announcements
        after which a peer counts as unreachable, timeout of a pull, delay before a
        failed peer is asked again, and longest time behind a reachable peer.
    """

    def __init__(
        self,
        started_at: float,
        *,
        node_id: str = "",
        seeds: tuple[str, ...] = (),
        listen_period_s: float = LISTEN_PERIOD_S,
        peer_timeout_s: float = PEER_TIMEOUT_S,
        pull_timeout_s: float = PULL_TIMEOUT_S,
        retry_delay_s: float = RETRY_DELAY_S,
        max_behind_s: float = MAX_BEHIND_S,
    ) -> None:
        self._node_id = node_id
        self._seeds = frozenset(seeds)
        self._settled_seeds: set[str] = set()
        self._listen_period_s = listen_period_s
        self._listen_deadline = started_at + listen_period_s
        self._has_seen_fallback = False
        self._peer_timeout_s = peer_timeout_s
        self._pull_timeout_s = pull_timeout_s
        self._retry_delay_s = retry_delay_s
        self._max_behind_s = max_behind_s
        self._document: SettingsDocument | None = None
        self._peers_by_id: dict[str, _Peer] = {}
        self._highest_known_version = 0
        self._behind_since: float | None = None
        self._pull: tuple[str, float] | None = None
        self._has_read_store = False
        self._has_been_ready = False

    @property
    def document(self) -> SettingsDocument | None:
        """Document with the highest version; None before the first."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the document; 0 if there is none."""
        return 0 if self._document is None else self._document.version

    @property
    def highest_known_version(self) -> int:
        """Highest version received or announced; never decreases."""
        return self._highest_known_version

    def on_announcement(
        self,
        peer: str,
        version: int,
        now: float,
        *,
        can_send: bool = True,
        is_fallback: bool = False,
        is_settled: bool = True,
    ) -> None:
        """Record the settings version announced by a peer.

        Parameters
        ----------
        peer : str
            The peer.
        version : int
            Version of its document.
        now : float
            Monotonic clock, in seconds.
        can_send : bool
            Whether the document can be pulled from the peer.
        is_fallback : bool
            Whether the peer is asked only if no other peer can be.
        is_settled : bool
            Whether the peer has confirmed that its version is the latest. Only
            settled seeds shorten the initial listening period.
        """
        peer_state = self._peers_by_id.setdefault(
            peer, _Peer(version, now, can_send, is_fallback)
        )
        peer_state.version = version
        peer_state.last_heard_at = now
        peer_state.can_send = can_send
        peer_state.is_fallback = is_fallback
        if is_settled and peer in self._seeds:
            self._settled_seeds.add(peer)
        if is_fallback and not self._has_seen_fallback:
            self._has_seen_fallback = True
            self._listen_deadline = max(
                self._listen_deadline, now + self._listen_period_s
            )
        self._record_version(version, now)

    def on_document(
        self, document: SettingsDocument, now: float, *, peer: str = ""
    ) -> bool:
        """Apply a document received from a peer.

        Parameters
        ----------
        document : SettingsDocument
            The received document.
        now : float
            Monotonic clock, in seconds.
        peer : str
            The peer, or empty if unknown.

        Returns
        -------
        bool
            Whether the document replaced an older one.
        """
        if peer in self._peers_by_id:
            # A restarted peer may hold a lower version than it announced before.
            self._peers_by_id[peer].version = document.version
            self._peers_by_id[peer].failures = 0
        if self._pull is not None and self._pull[0] == peer:
            self._pull = None
        return self._apply(document, now)

    def on_store_document(self, document: SettingsDocument, now: float) -> bool:
        """Apply a document read from the store by a linearizable read.

        Parameters
        ----------
        document : SettingsDocument
            The document; the empty one if the store holds none.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        bool
            Whether the document replaced an older one.
        """
        self._has_read_store = True
        return self._apply(document, now)

    def on_pull_failed(self, peer: str, now: float) -> None:
        """Record a failed pull; the peer is asked again after ``retry_delay_s``.

        Parameters
        ----------
        peer : str
            The peer.
        now : float
            Monotonic clock, in seconds.
        """
        if self._pull is not None and self._pull[0] == peer:
            self._pull = None
        if peer in self._peers_by_id:
            self._peers_by_id[peer].retry_at = now + self._retry_delay_s
            self._peers_by_id[peer].failures += 1

    def on_peer_left(self, peer: str) -> None:
        """Remove a peer that has left; the versions it announced still count."""
        self._peers_by_id.pop(peer, None)
        self._settled_seeds.discard(peer)
        if self._pull is not None and self._pull[0] == peer:
            self._pull = None

    def start_pull(self, now: float, *, allow_fallbacks: bool = False) -> str | None:
        """Select the peer to pull the document from and record the pull as started.

        The caller performs the pull and reports its result by :meth:`on_document` or
        :meth:`on_pull_failed`.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.
        allow_fallbacks : bool
            Whether fallbacks may be asked.

        Returns
        -------
        str or None
            The reachable peer with the fewest failures and, of these, the highest
            version; None if there is nothing to pull or a pull is in progress.
        """
        if self._pull is not None:
            peer, started_at = self._pull
            if now < started_at + self._pull_timeout_s:
                return None
            self.on_pull_failed(peer, now)
        best = max(
            (
                (
                    not peer_state.is_fallback,
                    -peer_state.failures,
                    peer_state.version,
                    self._selection_hash(peer),
                    peer,
                )
                for peer, peer_state in self._peers_ahead(now)
                if peer_state.retry_at <= now
                and (allow_fallbacks or not peer_state.is_fallback)
            ),
            default=None,
        )
        if best is None:
            return None
        peer = best[-1]
        self._pull = (peer, now)
        return peer

    def ready_to_serve(self, now: float) -> bool:
        """Return whether requests may be served with the current document.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        bool
            True according to the rules in the description of the class.
        """
        if self._document is None:
            return False
        if self._has_been_ready:
            return not self._is_behind_too_long(now)
        is_current = self.version >= self._highest_known_version
        self._has_been_ready = is_current and self._has_listened(now)
        return self._has_been_ready

    def _apply(self, document: SettingsDocument, now: float) -> bool:
        self._record_version(document.version, now)
        if self._document is not None and document.version <= self.version:
            return False
        self._document = document
        self._prune_fallbacks()
        # Progress restarts the time limit, even if the replica is still behind.
        self._behind_since = now if self.version < self._highest_known_version else None
        return True

    def _prune_fallbacks(self) -> None:
        # Bounds memory: fallbacks without a higher version are never asked.
        self._peers_by_id = {
            peer: peer_state
            for peer, peer_state in self._peers_by_id.items()
            if peer_state.version > self.version or not peer_state.is_fallback
        }

    def _record_version(self, version: int, now: float) -> None:
        self._highest_known_version = max(self._highest_known_version, version)
        if self._behind_since is None and self._highest_known_version > self.version:
            self._behind_since = now

    def _can_pull_from(self, peer_state: _Peer, now: float) -> bool:
        return (
            peer_state.can_send
            and now < peer_state.last_heard_at + self._peer_timeout_s
        )

    def _peers_ahead(self, now: float) -> list[tuple[str, _Peer]]:
        return [
            (peer, peer_state)
            for peer, peer_state in self._peers_by_id.items()
            if peer_state.version > self.version
            and self._can_pull_from(peer_state, now)
        ]

    def _has_listened(self, now: float) -> bool:
        if self._has_read_store:
            return True
        are_seeds_settled = bool(self._seeds) and self._seeds <= self._settled_seeds
        return are_seeds_settled or now >= self._listen_deadline

    def _is_behind_too_long(self, now: float) -> bool:
        if self._behind_since is None:
            return False
        is_overdue = now >= self._behind_since + self._max_behind_s
        return is_overdue and any(
            not peer_state.is_fallback for _, peer_state in self._peers_ahead(now)
        )

    def _selection_hash(self, peer: str) -> bytes:
        return blake2b(f"{self._node_id} {peer}".encode(), digest_size=8).digest()
