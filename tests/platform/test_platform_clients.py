"""Platform clients over HTTP, tested against a platform stand-in."""

from contextlib import aclosing, asynccontextmanager

import pytest
from anyio import create_task_group, fail_after, sleep

from berylwalk.platform import (
    Conflict,
    EventKind,
    KeyValueClient,
    LeasedLock,
    LockHeld,
    OutcomeUnknown,
    Swapped,
    Unavailable,
    UnavailableReason,
    Vm,
    VmListClient,
    VmRole,
    resolve_swap,
)
from berylwalk.standins import loopback_host, serving
from berylwalk.standins.memory import InMemoryKeyValue
from berylwalk.standins.platform import PlatformStandin, VmMessage

HOST = loopback_host(84)
PORT = 2379
BASE = f"http://{HOST}:{PORT}"
REFUSING = "http://127.77.2.2:2379"
GENEROUS_S = 20.0
KEY = b"settings/head"


@asynccontextmanager
async def running_platform(standin=None, endpoints=(BASE,)):
    """Serve a platform stand-in; yields it with a client."""
    standin = standin or PlatformStandin()
    store = KeyValueClient.from_config(endpoints, timeout_s=5.0)
    await store.start()
    try:
        async with serving(standin.handle, HOST, PORT, standin.run):
            yield standin, store
    finally:
        await store.close()


async def until_absent(store, key):
    """Wait until a key is absent, with a generous timeout."""
    with fail_after(GENEROUS_S):
        while await store.get(key) is not None:
            await sleep(0.02)


async def collect(store, count, start_revision, found):
    """Append ``count`` watched events to a list."""
    async with aclosing(store.watch(KEY, start_revision)) as events:
        async for event in events:
            found.append(event)
            if len(found) == count:
                return


@pytest.fixture(params=["client", "memory"])
async def faulty_store(request):
    """Yield a store and its fault switches: the HTTP client, or the in-memory fake."""
    if request.param == "memory":
        fake = InMemoryKeyValue()
        yield fake, fake
        return
    async with running_platform() as (standin, store):
        yield standin.faults, store


@pytest.mark.anyio
class TestStore:
    """Behaviour that the HTTP client and the in-memory fake share."""

    async def test_create_if_absent_happens_once(self, faulty_store):
        """Creating an existing key must conflict instead of overwriting it."""
        _, store = faulty_store
        first = await store.compare_and_swap(KEY, b"one", 0)
        second = await store.compare_and_swap(KEY, b"two", 0)
        assert isinstance(first, Swapped)
        assert isinstance(second, Conflict)
        assert second.current.value == b"one"
        assert second.current.mod_revision == first.mod_revision

    async def test_old_revision_conflicts(self, faulty_store):
        """A swap or deletion with a stale revision must not change the key."""
        _, store = faulty_store
        first = await store.compare_and_swap(KEY, b"one", 0)
        second = await store.compare_and_swap(KEY, b"two", first.mod_revision)
        third = await store.compare_and_swap(KEY, b"three", first.mod_revision)
        deletion = await store.delete_if(KEY, first.mod_revision)
        current = await store.get(KEY)
        assert isinstance(third, Conflict)
        assert isinstance(deletion, Conflict)
        assert (current.value, current.mod_revision) == (b"two", second.mod_revision)

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_writes"])
    async def test_lost_response_is_resolved(self, faulty_store, fault):
        """Resolving an unknown outcome must apply the write exactly once."""
        faults, store = faulty_store
        setattr(faults, fault, 1)
        lost = await store.compare_and_swap(KEY, b"id-1", 0)
        resolved = await resolve_swap(
            store, KEY, b"id-1", 0, is_own_write=lambda kv: kv.value == b"id-1"
        )
        current = await store.get(KEY)
        assert isinstance(lost, OutcomeUnknown)
        assert resolved == Swapped(current.mod_revision)
        assert current.create_revision == current.mod_revision

    async def test_lost_response_of_a_conflicting_write_is_a_conflict(
        self, faulty_store
    ):
        """A write that lost against another one must not be resolved as successful."""
        faults, store = faulty_store
        await store.compare_and_swap(KEY, b"theirs", 0)
        faults.lose_answers = 1
        lost = await store.compare_and_swap(KEY, b"ours", 0)
        resolved = await resolve_swap(
            store, KEY, b"ours", 0, is_own_write=lambda kv: kv.value == b"ours"
        )
        assert isinstance(lost, OutcomeUnknown)
        assert isinstance(resolved, Conflict)
        assert resolved.current.value == b"theirs"

    async def test_outage_is_not_reported_as_absence(self, faulty_store):
        """A failed read must not look like a missing key."""
        faults, store = faulty_store
        faults.down = True
        assert isinstance(await store.get(KEY), Unavailable)
        assert isinstance(await store.get_prefix(b""), Unavailable)
        assert isinstance(await store.keep_alive(1), Unavailable)
        written = await store.compare_and_swap(KEY, b"one", 0)
        assert isinstance(written, OutcomeUnknown | Unavailable)

    async def test_prefix_listing_is_sorted(self, faulty_store):
        """Only keys with the prefix are listed, sorted by key."""
        _, store = faulty_store
        for key in (b"a/2", b"a/1", b"b/1", b"a0"):
            await store.compare_and_swap(key, key, 0)
        found = await store.get_prefix(b"a/")
        assert [kv.key for kv in found] == [b"a/1", b"a/2"]

    async def test_watch_yields_later_changes_of_its_keys(self, faulty_store):
        """Writes and deletions are yielded in order; other keys are ignored."""
        _, store = faulty_store
        first = await store.compare_and_swap(KEY, b"1", 0)
        second = await store.compare_and_swap(KEY, b"2", first.mod_revision)
        await store.compare_and_swap(b"other", b"x", 0)
        found = []
        with fail_after(GENEROUS_S):
            async with create_task_group() as group:
                start = first.mod_revision + 1
                group.start_soon(collect, store, 2, start, found)
                while not found:
                    await sleep(0.005)
                await store.delete_if(KEY, second.mod_revision)
        kinds = [(event.kind, event.key_value.value) for event in found]
        assert kinds == [(EventKind.PUT, b"2"), (EventKind.DELETE, b"")]


@pytest.mark.anyio
class TestEndpoints:
    """Failover between endpoints."""

    async def test_refused_connection_is_not_an_unknown_outcome(self):
        """A call that was never sent must be distinguishable from a lost response."""
        store = KeyValueClient.from_config([REFUSING])
        await store.start()
        result = await store.compare_and_swap(KEY, b"one", 0)
        await store.close()
        assert isinstance(result, Unavailable)
        assert result.reason is UnavailableReason.NOT_SENT

    @pytest.mark.parametrize(
        ("status", "expected"),
        [(500, OutcomeUnknown), (503, Unavailable), (429, Unavailable)],
    )
    async def test_server_error_is_an_unknown_outcome(self, status, expected):
        """A 500 may follow a write that took effect; a rejected call has no effect."""

        async def handle(exchange):
            await exchange.respond_json(status, {"message": "request timed out"})

        store = KeyValueClient.from_config([BASE])
        await store.start()
        async with serving(handle, HOST, PORT):
            result = await store.compare_and_swap(KEY, b"one", 0)
        await store.close()
        assert isinstance(result, expected)

    async def test_failover_to_the_next_endpoint(self):
        """A write must succeed if the first endpoint refuses connections."""
        async with running_platform(endpoints=(REFUSING, BASE)) as (_, store):
            assert isinstance(await store.compare_and_swap(KEY, b"one", 0), Swapped)


@pytest.mark.anyio
class TestLeases:
    """Leases and locks."""

    async def test_expired_lease_deletes_its_keys(self):
        """An expired lease must delete its keys and reject renewal and use."""
        async with running_platform() as (_, store):
            lease = await store.grant_lease(1.0)
            await store.compare_and_swap(KEY, b"x", 0, lease_id=lease.lease_id)
            await until_absent(store, KEY)
            assert await store.keep_alive(lease.lease_id) == 0.0
            late = await store.compare_and_swap(KEY, b"x", 0, lease_id=lease.lease_id)
        assert late == Unavailable(UnavailableReason.LEASE_NOT_FOUND, late.detail)

    async def test_lock_is_exclusive_and_its_fencing_token_increases(self):
        """Two owners must not hold the lock at once, nor get tokens out of order."""
        async with running_platform() as (standin, store):
            standin.faults.lose_answers = 1
            first = await LeasedLock.acquire(store, KEY, owner="a", ttl_s=60)
            refused = await LeasedLock.acquire(store, KEY, owner="b", ttl_s=60)
            await first.release()
            second = await LeasedLock.acquire(store, KEY, owner="b", ttl_s=60)
        assert isinstance(refused, LockHeld)
        assert refused.holder.value.startswith(b"a ")
        assert second.fencing > first.fencing


@pytest.mark.anyio
class TestWatch:
    """Watches across broken connections."""

    async def test_watch_resumes_without_gaps(self):
        """Changes made while the server is down must be delivered once and in order."""
        found = []
        standin = PlatformStandin()
        store = KeyValueClient.from_config([BASE])
        await store.start()
        with fail_after(GENEROUS_S):
            async with create_task_group() as group:
                async with serving(standin.handle, HOST, PORT, standin.run):
                    group.start_soon(collect, store, 4, 1, found)
                    first = await store.compare_and_swap(KEY, b"1", 0)
                    while not found:
                        await sleep(0.005)
                second = standin.store.put(KEY, b"2").mod_revision
                standin.store.put(b"other", b"x")
                third = standin.store.put(KEY, b"3").mod_revision
                async with serving(standin.handle, HOST, PORT, standin.run):
                    await store.delete_if(KEY, third)
                    while len(found) < 4:
                        await sleep(0.005)
        await store.close()
        assert [event.key_value.value for event in found] == [b"1", b"2", b"3", b""]
        assert found[-1].kind is EventKind.DELETE
        revisions = [event.key_value.mod_revision for event in found[:3]]
        assert revisions == [first.mod_revision, second, third]

    async def test_watch_from_compacted_revision_yields_current_state(self):
        """A watch that cannot resume must yield the current state and continue."""
        found = []
        async with running_platform() as (standin, store):
            standin.store.put(KEY, b"1")
            standin.store.put(KEY, b"2")
            standin.store.compact()
            with fail_after(GENEROUS_S):
                async with create_task_group() as group:
                    group.start_soon(collect, store, 2, 1, found)
                    while not found:
                        await sleep(0.005)
                    standin.store.put(KEY, b"3")
        assert [event.key_value.value for event in found] == [b"2", b"3"]


@pytest.mark.anyio
class TestVmList:
    """Client of the VM list."""

    async def test_list_and_outage(self):
        """The list has typed entries; an outage is returned, not raised."""
        vms = [
            VmMessage("vm-1", "127.77.2.9", "fd-a", "entry"),
            VmMessage("vm-2", "127.77.2.10", "fd-b", "target", "leaving"),
        ]
        client = VmListClient.from_config(BASE)
        await client.start()
        async with running_platform(PlatformStandin(vms)) as (standin, _):
            listed = await client.fetch()
            standin.faults.down = True
            outage = await client.fetch()
        await client.close()
        assert listed == (
            Vm("vm-1", "127.77.2.9", "fd-a", VmRole.ENTRY),
            Vm("vm-2", "127.77.2.10", "fd-b", VmRole.TARGET, leaving=True),
        )
        assert outage == Unavailable(UnavailableReason.NO_ANSWER, outage.detail)
