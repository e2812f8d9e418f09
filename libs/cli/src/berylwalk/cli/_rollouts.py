"""Command that shows the roll-outs in the store."""

from argparse import Namespace
from datetime import UTC, datetime

import anyio
from msgspec import DecodeError
from msgspec.json import decode

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.platform import KeyValue, KeyValueClient, Unavailable
from berylwalk.rollout import RECORDS_PREFIX, Record, service_from_record_key


def print_rollouts(arguments: Namespace) -> ExitCode:
    """Print the last roll-out of each service.

    Parameters
    ----------
    arguments : Namespace
        With ``url`` of the store and ``timeout_s``.

    Raises
    ------
    CommandError
        If the store does not respond.
    """
    return anyio.run(_print_all, arguments)


async def _print_all(arguments: Namespace) -> ExitCode:
    store = KeyValueClient.from_config([arguments.url], timeout_s=arguments.timeout_s)
    await store.start()
    try:
        items = await store.get_prefix(RECORDS_PREFIX)
    finally:
        await store.close()
    if isinstance(items, Unavailable):
        raise CommandError(ExitCode.UNDECIDED, [f"the store: {items.detail}"])
    for item in items:
        print(_format_record(item))
    if not items:
        print("there was no roll-out")
    return ExitCode.OK


def _format_record(item: KeyValue) -> str:
    service = service_from_record_key(item.key)
    try:
        record = decode(item.value, type=Record)
    except (DecodeError, ValueError) as error:
        return f"{service}: not readable: {error}"
    began = datetime.fromtimestamp(record.began_s, UTC).isoformat(timespec="seconds")
    barred = ",".join(record.barred) or "none"
    return (
        f"{service}  to {record.version}  {record.phase}  since order {began}  "
        f"gets nothing: {barred}  why: {record.reason}"
    )
