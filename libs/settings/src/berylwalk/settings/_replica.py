"""A node's copy of the settings, kept up to date by its peers and the store."""

from dataclasses import dataclass
from hashlib import blake2b

from berylwalk.settings._document import SettingsDocument

LISTEN_S = 3.0
PEER_TIMEOUT_S = 5.0
PULL_TIMEOUT_S = 2.0
RETRY_S = 0.5
MAX_BEHIND_S = 5.0


@dataclass(slots=True)
class _Peer:
    version: int
    heard_at: float
    can_send: bool
    is_fallback: bool
    retry_at: float = 0.0
    failures: int = 0


class SettingsReplica:
    """Hold the highest settings document seen; do no input or output.

    A node that starts is not ready until it can assume that its document is
    the latest: it has read the store, or it has listened to its peers for
    ``listen_s`` or heard all of ``seeds``. It must also hold every version that
    it has heard of. If all peers that announced such a version are gone, it
    waits until another peer or the store has it; in its earlier life it may have
    applied that version already.

    A node that has become ready stays so while it catches up, for the version it
    serves was in force a moment ago. It stops being ready when it stays behind a
    reachable peer for longer than ``max_behind_s``. If no reachable peer has the
    higher version, it goes on with its own: it has not applied the higher one, so
    nothing reverts, and stopping would take the fleet down with the store.

    A *fallback* is a peer that is asked only on demand and when no other peer that
    is ahead can be. A node does not stop because of one: it may be of a release that
    does not answer. The first one heard of starts the listening anew, for others
    may know of higher versions.

    Parameters
    ----------
    started_at : float
        Monotonic clock, in seconds.
    node_id : str
        Name of this node; it decides which of several equal peers is asked, so
        that the nodes of a fleet do not all ask the same one.
    seeds : iterable of str
        Peers that are expected to announce themselves.
    listen_s, peer_timeout_s, pull_timeout_s, retry_s, max_behind_s : float
        Times in seconds: listening at start, silence after which a peer counts
        as unreachable, wait for a pulled document, pause after a failed pull,
        and longest stay behind a reachable peer.
    """

    def __init__(
        self,
        started_at: float,
        *,
        node_id: str = "",
        seeds: tuple[str, ...] = (),
        listen_s: float = LISTEN_S,
        peer_timeout_s: float = PEER_TIMEOUT_S,
        pull_timeout_s: float = PULL_TIMEOUT_S,
        retry_s: float = RETRY_S,
        max_behind_s: float = MAX_BEHIND_S,
    ) -> None:
        self._node_id = node_id
        self._seeds = frozenset(seeds)
        self._settled_peers: set[str] = set()
        self._listen_s = listen_s
        self._listen_until = started_at + listen_s
        self._has_heard_fallback = False
        self._peer_timeout_s = peer_timeout_s
        self._pull_timeout_s = pull_timeout_s
        self._retry_s = retry_s
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
        """Highest document seen; None before the first."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the document held; 0 without one."""
        return 0 if self._document is None else self._document.version

    @property
    def highest_known_version(self) -> int:
        """Highest version seen or heard of; it never goes down."""
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
        """Note the settings version that a peer's datagram carried.

        Parameters
        ----------
        peer : str
            The sender.
        version : int
            The version it holds.
        now : float
            Monotonic clock, in seconds.
        can_send : bool
            Whether the peer can be asked for its document.
        is_fallback : bool
            Whether it is to be asked only when no other can be.
        is_settled : bool
            Whether the peer knows that its version is the latest, so that a seed
            saves the listening.
        """
        known = self._peers_by_id.setdefault(
            peer, _Peer(version, now, can_send, is_fallback)
        )
        known.version = version
        known.heard_at = now
        known.can_send = can_send
        known.is_fallback = is_fallback
        if is_settled and peer in self._seeds:
            self._settled_peers.add(peer)
        if is_fallback and not self._has_heard_fallback:
            self._has_heard_fallback = True
            self._listen_until = max(self._listen_until, now + self._listen_s)
        self._hear_of(version, now)

    def on_document(
        self, document: SettingsDocument, now: float, *, peer: str = ""
    ) -> bool:
        """Take a document that a peer sent, pulled or pushed.

        Parameters
        ----------
        document : SettingsDocument
            The document.
        now : float
            Monotonic clock, in seconds.
        peer : str
            The peer, or empty when unknown.

        Returns
        -------
        bool
            Whether it was higher than the one held and is now in force.
        """
        if peer in self._peers_by_id:
            # A peer that has restarted may hold less than it announced before.
            self._peers_by_id[peer].version = document.version
            self._peers_by_id[peer].failures = 0
        if self._pull is not None and self._pull[0] == peer:
            self._pull = None
        return self._apply(document, now)

    def on_store_document(self, document: SettingsDocument, now: float) -> bool:
        """Take the document that a linearizable read of the store gave.

        Parameters
        ----------
        document : SettingsDocument
            The document; the empty one when the store holds none.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        bool
            Whether it was higher than the one held and is now in force.
        """
        self._has_read_store = True
        return self._apply(document, now)

    def on_pull_failed(self, peer: str, now: float) -> None:
        """Note that a peer did not send its document; it is asked later again.

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
            self._peers_by_id[peer].retry_at = now + self._retry_s
            self._peers_by_id[peer].failures += 1

    def on_peer_left(self, peer: str) -> None:
        """Forget a peer that has left; the versions heard from it still count."""
        self._peers_by_id.pop(peer, None)
        self._settled_peers.discard(peer)
        if self._pull is not None and self._pull[0] == peer:
            self._pull = None

    def start_pull(self, now: float, *, allow_fallbacks: bool = False) -> str | None:
        """Choose the peer to ask for its document.

        The pull counts as started: the caller asks the peer and reports back by
        :meth:`on_document` or :meth:`on_pull_failed`.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.
        allow_fallbacks : bool
            Whether fallbacks may be asked.

        Returns
        -------
        str or None
            The reachable peer that failed least often, of these the one with the
            highest version; None when there is nothing to pull, or while a pull is
            under way.
        """
        if self._pull is not None:
            peer, started_at = self._pull
            if now < started_at + self._pull_timeout_s:
                return None
            self.on_pull_failed(peer, now)
        best = max(
            (
                (
                    not known.is_fallback,
                    -known.failures,
                    known.version,
                    self._preference(peer),
                    peer,
                )
                for peer, known in self._peers_ahead(now)
                if known.retry_at <= now and (allow_fallbacks or not known.is_fallback)
            ),
            default=None,
        )
        if best is None:
            return None
        peer = best[-1]
        self._pull = (peer, now)
        return peer

    def ready_to_serve(self, now: float) -> bool:
        """Tell whether the document held may be served from.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        bool
            See the class for the rules.
        """
        if self._document is None:
            return False
        if self._has_been_ready:
            return not self._is_behind_too_long(now)
        is_current = self.version >= self._highest_known_version
        self._has_been_ready = is_current and self._has_listened(now)
        return self._has_been_ready

    def _apply(self, document: SettingsDocument, now: float) -> bool:
        self._hear_of(document.version, now)
        if self._document is not None and document.version <= self.version:
            return False
        self._document = document
        self._forget_fallbacks()
        # A node that makes progress is not stuck, even if it is behind again.
        self._behind_since = now if self.version < self._highest_known_version else None
        return True

    def _forget_fallbacks(self) -> None:
        # There may be thousands, and those that are not ahead are of no use.
        self._peers_by_id = {
            peer: known
            for peer, known in self._peers_by_id.items()
            if known.version > self.version or not known.is_fallback
        }

    def _hear_of(self, version: int, now: float) -> None:
        self._highest_known_version = max(self._highest_known_version, version)
        if self._behind_since is None and self._highest_known_version > self.version:
            self._behind_since = now

    def _can_be_asked(self, known: _Peer, now: float) -> bool:
        return known.can_send and now < known.heard_at + self._peer_timeout_s

    def _peers_ahead(self, now: float) -> list[tuple[str, _Peer]]:
        return [
            (peer, known)
            for peer, known in self._peers_by_id.items()
            if known.version > self.version and self._can_be_asked(known, now)
        ]

    def _has_listened(self, now: float) -> bool:
        if self._has_read_store:
            return True
        has_heard_seeds = bool(self._seeds) and self._seeds <= self._settled_peers
        return has_heard_seeds or now >= self._listen_until

    def _is_behind_too_long(self, now: float) -> bool:
        if self._behind_since is None:
            return False
        is_late = now >= self._behind_since + self._max_behind_s
        return is_late and any(
            not known.is_fallback for _, known in self._peers_ahead(now)
        )

    def _preference(self, peer: str) -> bytes:
        return blake2b(f"{self._node_id} {peer}".encode(), digest_size=8).digest()
