"""Replies to nodes that query the settings document."""

from berylwalk.settings import SettingsDocument, SettingsReplica
from berylwalk.wire import SettingsQuery, SettingsReply


class SettingsReplyBuilder:
    """Builder of settings replies that caches the encoded document.

    Parameters
    ----------
    replica : SettingsReplica
        Local replica of the settings document.
    """

    def __init__(self, replica: SettingsReplica) -> None:
        self._replica = replica
        self._encoded: tuple[SettingsDocument, bytes] | None = None

    def reply(self, query: SettingsQuery, *, is_settled: bool) -> SettingsReply:
        """Return the current version, and the document if the other node's is older.

        Parameters
        ----------
        query : SettingsQuery
            Query with the version that the other node has.
        is_settled : bool
            Whether this node has confirmed that it has the latest version.
        """
        document = self._replica.document
        if document is None or document.version <= query.known_version:
            return SettingsReply(self._replica.version, is_settled=is_settled)
        encoded = self._encode(document)
        return SettingsReply(document.version, encoded, is_settled=is_settled)

    def _encode(self, document: SettingsDocument) -> bytes:
        if self._encoded is None or self._encoded[0] is not document:
            self._encoded = (document, document.encode())
        return self._encoded[1]
