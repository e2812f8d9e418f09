"""Queries to other nodes over the sync channel, and replies to theirs."""

from collections.abc import Callable

from absl import logging

from berylwalk.router._membership import MemberTable
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.transport import SyncClient, SyncFailed
from berylwalk.wire import (
    MembersQuery,
    MembersReply,
    SettingsQuery,
    SettingsReply,
    SyncQuery,
    SyncReply,
    decode_query,
    decode_reply,
    encode_sync,
)


class MalformedQueryError(ValueError):
    """A peer's query cannot be decoded by this version."""


class PeerQueries:
    """Queries other nodes over the sync channel.

    Parameters
    ----------
    client : SyncClient
        Sends the queries.
    port : int
        Sync port of all nodes.
    address_of : callable
        Returns the IP address of a router by its node identifier, or None.
    """

    def __init__(
        self,
        client: SyncClient,
        *,
        port: int,
        address_of: Callable[[str], str | None],
    ) -> None:
        self._client = client
        self._port = port
        self._address_of = address_of

    async def fetch_settings(
        self, peer: str, known_version: int
    ) -> SettingsReply | None:
        """Request a document newer than a version from a node.

        ``peer`` is a node identifier or an address.
        """
        address = self._address_of(peer) or peer
        reply = await self._query(address, SettingsQuery(known_version))
        return reply if isinstance(reply, SettingsReply) else None

    async def fetch_members(self, address: str) -> MembersReply | None:
        """Request the members known to the router at an address."""
        reply = await self._query(address, MembersQuery())
        return reply if isinstance(reply, MembersReply) else None

    async def _query(self, address: str, query: SyncQuery) -> SyncReply | None:
        reply = await self._client.request(address, self._port, encode_sync(query))
        if isinstance(reply, SyncFailed):
            logging.debug("query to node at %s failed: %s", address, reply.reason)
            return None
        return decode_reply(reply)


class PeerQueryHandler:
    """Replies to queries of other nodes.

    Parameters
    ----------
    sync : SettingsSync
        Source of settings documents.
    members : MemberTable
        Source of members.
    """

    def __init__(self, sync: SettingsSync, members: MemberTable) -> None:
        self._sync = sync
        self._members = members

    async def handle(self, request: bytes) -> bytes:
        """Return the encoded reply to an encoded query."""
        query = decode_query(request)
        if isinstance(query, SettingsQuery):
            return encode_sync(self._sync.reply(query))
        if isinstance(query, MembersQuery):
            return encode_sync(MembersReply(self._members.members))
        raise MalformedQueryError("the query cannot be decoded")
