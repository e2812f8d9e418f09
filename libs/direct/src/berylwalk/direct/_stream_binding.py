"""Finds the version that a stream which a caller takes up is bound to.

Load that it answers: callers whose streams broke off come back to routers that have not
seen them begin, because these have just started or were not told, while versions of the
service come and go.
"""

from berylwalk.direct._admission import Admitted
from berylwalk.direct._context import RouterContext
from berylwalk.direct._stream_lookup import LookupFailure, VersionSource


async def find_stream_version(
    context: RouterContext, admitted: Admitted
) -> tuple[str | None, VersionSource]:
    """Return the version that began a stream, and how it is known.

    A version that is listed now says nothing: the stream may have begun at one that has
    left. What decides are the record of the stream and, without one, a history of the
    service that holds one version only. If the store can't tell the history, the one
    that is known counts only if all known routers have the same, and the store answers
    none of them: then no version was added to it.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    admitted : Admitted
        The request that takes the stream up.

    Returns
    -------
    version : str or None
        The version; None if it is not known.
    source : VersionSource
        How it is known, or why it is not.
    """
    is_named = bool(admitted.parsed_headers.resumes)
    key = admitted.stream_key
    version = context.streams.version_of(key, context.clock()) if is_named else None
    if version is not None:
        return version, VersionSource.RECORDED
    found: str | LookupFailure = LookupFailure.ABSENT
    if is_named:
        found = await context.find_stored_stream(key)
    if not isinstance(found, LookupFailure):
        context.streams.merge([(key, found)], context.clock())
        return found, VersionSource.STORED
    # The record may be absent since the service has one version.
    is_confirmed = await context.confirm_versions(admitted.service)
    version = context.targets.versions.only_version(admitted.service)
    if version is not None and is_confirmed:
        return version, VersionSource.ONLY_ONE
    if version is not None:
        version = await context.find_agreed_version(admitted.service)
    if version is not None:
        return version, VersionSource.STORE_AWAY
    if not is_named:
        return None, VersionSource.NOT_NAMED
    return None, VersionSource.from_failure(found)
