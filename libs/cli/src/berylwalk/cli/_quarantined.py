"""Command that shows and releases quarantined requests."""

from argparse import Namespace
from datetime import UTC, datetime

import anyio
from msgspec import DecodeError
from msgspec.json import decode

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.platform import Conflict, KeyValue, KeyValueClient, Swapped, Unavailable
from berylwalk.quarantine import (
    RECORDS_PREFIX,
    Record,
    identity_from_key,
    is_part,
    record_key,
)


def print_quarantined(arguments: Namespace) -> ExitCode:
    """Print the quarantine records in the store, or release one request.

    Parameters
    ----------
    arguments : Namespace
        With ``url`` of the store, ``timeout_s``, and ``release``: the identity of a
        request in hexadecimal, or None.

    Raises
    ------
    CommandError
        If the store does not respond, or has no such record.
    """
    return anyio.run(_with_store, arguments)


async def _with_store(arguments: Namespace) -> ExitCode:
    store = KeyValueClient.from_config([arguments.url], timeout_s=arguments.timeout_s)
    await store.start()
    try:
        if arguments.release is None:
            return await _print_all(store)
        return await _release(store, arguments.release)
    finally:
        await store.close()


async def _print_all(store: KeyValueClient) -> ExitCode:
    items = await store.get_prefix(RECORDS_PREFIX)
    if isinstance(items, Unavailable):
        raise CommandError(ExitCode.UNDECIDED, [f"the store: {items.detail}"])
    for item in items:
        print(_format_record(item))
    if not items:
        print("no request is held back")
    return ExitCode.OK


def _format_record(item: KeyValue) -> str:
    try:
        identity = identity_from_key(item.key)
        record = decode(item.value, type=Record)
    except (DecodeError, ValueError) as error:
        return f"{item.key.decode('latin-1')}: not readable: {error}"
    since = datetime.fromtimestamp(record.noted_s, UTC).isoformat(timespec="seconds")
    ended = " ".join(record.ended)
    kind = "  prompt part" if is_part(identity) else ""
    return (
        f"{identity.hex()}{kind}  since {since}  trials {record.trials}  ended: {ended}"
    )


async def _release(store: KeyValueClient, identity: str) -> ExitCode:
    try:
        key = record_key(bytes.fromhex(identity))
        identity_from_key(key)
    except ValueError as error:
        raise CommandError(ExitCode.FAILED, [f"{identity}: {error}"]) from error
    item = await store.get(key)
    if isinstance(item, Unavailable):
        raise CommandError(ExitCode.UNDECIDED, [f"the store: {item.detail}"])
    if item is None:
        raise CommandError(ExitCode.FAILED, [f"{identity}: the store has no record"])
    match await store.delete_if(key, item.mod_revision):
        case Swapped():
            print(f"{identity} is let through, at all routers within 15 s")
            return ExitCode.OK
        case Conflict():
            reason = "its record was changed concurrently; try again"
        case failure:
            reason = f"the store: {failure.detail}"
    raise CommandError(ExitCode.UNDECIDED, [f"{identity}: {reason}"])
