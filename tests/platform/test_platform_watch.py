"""Recovery of a watch after an outage in which responses are lost."""

from contextlib import aclosing

from anyio import create_task_group

from berylwalk.platform import KeyValueClient
from virtual_feeds import in_virtual_time
from virtual_store import VirtualStore, until

DELIVERY_BOUND_S = 11.0
"""Time within which a change must reach every watcher."""
KEY = b"settings"


class TestWatchAcrossAnOutage:
    """A key changes right after the store was silent for six seconds."""

    def test_change_is_delivered_in_time(self):
        """The delay must stay within the bound for every start of the outage."""

        def is_late(silent_at_s):
            store = VirtualStore()

            async def scenario():
                client = KeyValueClient.from_config(["http://10.0.0.9:80"])
                await client.start()
                first = store.store.put(KEY, b"1")
                received = []

                async def watch():
                    start = first.mod_revision + 1
                    async with aclosing(client.watch(KEY, start)) as events:
                        async for event in events:
                            received.append(event.key_value.value)

                async with create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await until(silent_at_s)
                    await store.go_down(6.0)
                    store.store.put(KEY, b"2")
                    await until(silent_at_s + 6.0 + DELIVERY_BOUND_S)
                    tasks.cancel_scope.cancel()
                return received != [b"2"]

            return in_virtual_time(store, scenario)

        steps = [1.0 + step for step in range(24)]
        assert [step for step in steps if is_late(step)] == []
