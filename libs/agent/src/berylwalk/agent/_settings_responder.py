"""Settings queries of routers that cannot get the settings elsewhere."""

from berylwalk.process import SettingsReplyBuilder
from berylwalk.settings import SettingsReplica
from berylwalk.wire import SettingsQuery, decode_query, encode_sync


class MalformedQueryError(ValueError):
    """A peer sent a query that agents do not support."""


class SettingsResponder:
    """Serves queries for the settings document.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the settings document.
    """

    def __init__(self, replica: SettingsReplica) -> None:
        self._replies = SettingsReplyBuilder(replica)

    async def respond(self, request: bytes) -> bytes:
        """Return the encoded reply to an encoded query.

        Raises
        ------
        MalformedQueryError
            If it is not a settings query.
        """
        query = decode_query(request)
        if not isinstance(query, SettingsQuery):
            raise MalformedQueryError("agents support settings queries only")
        return encode_sync(self._replies.reply(query, is_settled=False))
