"""Answers to routers that ask for the settings while nobody else has them."""

from berylwalk.process import SettingsReplies
from berylwalk.settings import SettingsReplica
from berylwalk.wire import SettingsQuery, decode_query, encode_sync


class MalformedQueryError(ValueError):
    """A peer asked something that agents do not answer."""


class SettingsResponder:
    """Answers questions for the settings document.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the document.
    """

    def __init__(self, replica: SettingsReplica) -> None:
        self._replies = SettingsReplies(replica)

    async def answer(self, request: bytes) -> bytes:
        """Return the encoded reply to an encoded query.

        Raises
        ------
        MalformedQueryError
            If it is not a question for the settings.
        """
        query = decode_query(request)
        if not isinstance(query, SettingsQuery):
            raise MalformedQueryError("agents answer for the settings alone")
        return encode_sync(self._replies.reply(query, is_settled=False))
