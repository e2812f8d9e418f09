"""Polling of the VM list, with peers as a fallback during outages."""

from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic
from typing import Protocol

from absl import logging
from anyio import sleep

from berylwalk.platform import Unavailable, Vm
from berylwalk.router._membership import MemberTable, member_from_vm
from berylwalk.wire import MembersReply

JITTER_FRACTION = 0.2
MAX_PEERS_PER_POLL = 3
"""Maximum number of routers that are queried in one poll."""

QueryMembers = Callable[[str], Awaitable[MembersReply | None]]
"""Queries the router at an address for its members; None if it does not respond."""


class VmList(Protocol):
    """The platform's VM list."""

    async def fetch(self) -> tuple[Vm, ...] | Unavailable:
        """Read the whole list."""
        ...


class MemberPoller:
    """Keeps the member table up to date.

    Parameters
    ----------
    table : MemberTable
        The members.
    vms : VmList
        The platform's VM list.
    query_peer : callable
        Queries another router for its members.
    peer_addresses : callable
        Returns the addresses of routers to query.
    on_change : callable
        Called when the members changed.
    poll_s : float
        Time between polls, in seconds.
    clock : callable
        Monotonic clock, in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        table: MemberTable,
        vms: VmList,
        *,
        query_peer: QueryMembers,
        peer_addresses: Callable[[], list[str]],
        on_change: Callable[[], None],
        poll_s: float,
        clock: Callable[[], float] = monotonic,
        rng: Random | None = None,
    ) -> None:
        self._table = table
        self._vms = vms
        self._query_peer = query_peer
        self._peer_addresses = peer_addresses
        self._on_change = on_change
        self._poll_s = poll_s
        self._clock = clock
        self._rng = rng or Random()
        self._is_available: bool | None = None

    async def poll(self) -> None:
        """Read the list once, or query peers if it is unavailable."""
        before = self._table.members
        listed = await self._vms.fetch()
        if isinstance(listed, Unavailable):
            self._log_availability(False, f"{listed.reason}: {listed.detail}")
            await self._query_peers()
        else:
            self._log_availability(True, "")
            self._table.apply_list(map(member_from_vm, listed), self._clock())
        if self._table.members != before:
            self._on_change()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await sleep(self._poll_s * (1 + JITTER_FRACTION * self._rng.random()))

    async def _query_peers(self) -> None:
        addresses = self._peer_addresses()
        # A random order spreads the queries of many routers over their peers.
        self._rng.shuffle(addresses)
        for address in addresses[:MAX_PEERS_PER_POLL]:
            reply = await self._query_peer(address)
            if reply is not None and reply.members:
                self._table.merge_peer_list(reply.members)
                return

    def _log_availability(self, is_up: bool, detail: str) -> None:
        if is_up is self._is_available:
            return
        self._is_available = is_up
        if is_up:
            logging.info("VM list is available")
        else:
            logging.warning("VM list is unavailable: %s", detail)
