"""A watch whose answers are lost in an outage goes on in time after it."""

from contextlib import aclosing

from anyio import create_task_group

from berylwalk.platform import KeyValueClient
from virtual_feeds import in_virtual_time
from virtual_store import VirtualStore, until

SETTINGS_BOUND_S = 11.0
"""Time within which a change of the settings must be in force everywhere."""
KEY = b"settings"


class TestWatchAcrossAnOutage:
    """The store is silent for some seconds; after its return a key changes."""

    def test_change_is_told_in_time(self):
        """Whenever the last call before the outage was made."""

        def told_too_late(silent_at_s):
            store = VirtualStore()

            async def scenario():
                client = KeyValueClient.from_config(["http://10.0.0.9:80"])
                await client.start()
                first = store.store.put(KEY, b"1")
                told = []

                async def watch():
                    start = first.mod_revision + 1
                    async with aclosing(client.watch(KEY, start)) as events:
                        async for event in events:
                            told.append(event.key_value.value)

                async with create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await until(silent_at_s)
                    await store.go_down(6.0)
                    store.store.put(KEY, b"2")
                    await until(silent_at_s + 6.0 + SETTINGS_BOUND_S)
                    tasks.cancel_scope.cancel()
                return told != [b"2"]

            return in_virtual_time(store, scenario)

        steps = [1.0 + step for step in range(24)]
        assert [step for step in steps if told_too_late(step)] == []
