"""Odd responses of the store, and odd items among usual ones."""

import pytest

from berylwalk.platform import (
    Changes,
    Conflict,
    Listing,
    OutcomeUnknown,
    Unavailable,
    UnavailableReason,
)
from berylwalk.platform._http_client import HttpResponse
from berylwalk.platform._key_value import KeyValueClient
from berylwalk.platform._vms import VmListClient

pytestmark = pytest.mark.anyio
DEPTHS = (10_000, 100_000)


def nested(depth, *, objects=False):
    """Return a deeply nested JSON value."""
    if objects:
        return b'{"a":' * depth + b"1" + b"}" * depth
    return b"[" * depth + b"]" * depth


NESTED = [
    pytest.param(nested(depth, objects=objects), id=f"{depth}-{name}")
    for depth in DEPTHS
    for name, objects in (("arrays", False), ("objects", True))
]
USUAL = b'{"key":"servers/i-1","value":"e30=","revision":4}'


class Responses:
    """A service whose response to each call a test sets."""

    def __init__(self):
        self.status, self.body = 200, b""

    async def call(self, method, path, body=b"", **options):
        """Return the response."""
        return HttpResponse(self.status, self.body, [])


@pytest.fixture
def anyio_backend():
    """Run on asyncio."""
    return "asyncio"


@pytest.fixture
def responses():
    """Return the service."""
    return Responses()


@pytest.fixture
def client(responses):
    """Return a client of the store."""
    return KeyValueClient(responses)


class TestNesting:
    """Values that are nested deeper than a decoder follows."""

    @pytest.mark.parametrize("value", NESTED)
    @pytest.mark.parametrize("name", ["entries", "unknown"])
    async def test_nested_response_ends_a_list(self, client, responses, value, name):
        """The user of the list calls again."""
        body = b'{"store-revision":5,"%b":[%b,%b]}'
        responses.body = body % (name.encode(), value, USUAL)
        listing = await client.list_prefix(b"servers/")
        assert isinstance(listing, Unavailable)
        assert listing.reason is UnavailableReason.INVALID_ANSWER

    @pytest.mark.parametrize("value", NESTED)
    async def test_nested_response_ends_a_watch(self, client, responses, value):
        """The user of the watch calls again."""
        responses.body = b'{"store-revision":5,"events":[%b]}' % value
        changes = await client.changes(b"servers/", 4, wait_s=0.0)
        assert isinstance(changes, Unavailable)
        assert changes.reason is UnavailableReason.INVALID_ANSWER

    @pytest.mark.parametrize("value", NESTED)
    @pytest.mark.parametrize("status", [200, 412])
    async def test_nested_response_ends_a_write(self, client, responses, value, status):
        """Whether it took effect is not known."""
        responses.status = status
        responses.body = b'{"entries":[{"key":"k","x":%b}],"x":%b}' % (value, value)
        result = await client.compare_and_swap(b"k", b"v", 1)
        assert isinstance(result, OutcomeUnknown)

    @pytest.mark.parametrize("value", NESTED)
    async def test_nested_response_ends_a_lease(self, client, responses, value):
        """No lease is known then."""
        responses.body = b'{"ttl-ms":5000,"lease":7,"x":%b}' % value
        assert isinstance(await client.grant_lease(5.0), Unavailable)

    @pytest.mark.parametrize("value", NESTED)
    async def test_nested_response_ends_the_vm_list(self, responses, value):
        """Members are kept until the list can be read."""
        responses.body = b'{"vms":[],"x":%b}' % value
        assert isinstance(await VmListClient(responses).fetch(), Unavailable)


class TestItems:
    """One odd item among usual ones."""

    ODD = (
        b"7",
        b"null",
        b"[]",
        b"[[[[]]]]",
        b'"text"',
        b"{}",
        b'{"key":7,"value":"e30=","revision":5}',
        b'{"key":"servers/i-2","value":"\xff","revision":5}',
        b'{"key":"servers/\xff","value":"e30=","revision":5}',
        b'{"key":"servers/i-2","value":"e30","revision":5}',
        b'{"key":"servers/i-2","value":"e30=","revision":true}',
        b'{"key":"servers/i-2","value":"e30=","revision":1e400}',
        b'{"key":"servers/i-2","value":"e30=","revision":%b}' % (b"9" * 5000),
        b'{"key":"servers/i-2","value":"e30=","revision":5,"lease":%b}' % (b"9" * 5000),
    )

    @pytest.mark.parametrize("odd", ODD)
    async def test_odd_item_hides_others(self, client, responses, odd):
        """The others are listed, and a watch tells that one is missing."""
        responses.body = b'{"store-revision":5,"entries":[%b,%b]}' % (odd, USUAL)
        listing = await client.list_prefix(b"servers/")
        assert isinstance(listing, Listing)
        assert [each.key for each in listing.entries] == [b"servers/i-1"]
        assert listing.unreadable == 1
        responses.body = b'{"store-revision":5,"events":[%b,%b]}' % (odd, USUAL)
        changes = await client.changes(b"servers/", 3, wait_s=0.0)
        assert isinstance(changes, Changes)
        assert [each.key_value.key for each in changes.events] == [b"servers/i-1"]
        assert changes.unreadable == 1


class TestKeys:
    """Keys with characters that are no text."""

    LONE = (b"\\ud800", b"\\udfff", b"\\uD83D", b"\\ude00\\ud83d", b"a\\\\\\ud800b")

    @pytest.mark.parametrize("odd", LONE)
    async def test_key_with_half_a_character_hides_the_whole_list(
        self, client, responses, odd
    ):
        """JSON may name half of a pair of code units, which is no character."""
        item = b'{"key":"servers/%b","value":"e30=","revision":5}' % odd
        responses.body = b'{"store-revision":5,"entries":[%b,%b]}' % (item, USUAL)
        listing = await client.list_prefix(b"servers/")
        assert listing.entries[-1].key == b"servers/i-1"
        assert "\ufffd" in listing.entries[0].key.decode()
        responses.body = b'{"store-revision":5,"events":[%b,%b]}' % (item, USUAL)
        changes = await client.changes(b"servers/", 3, wait_s=0.0)
        assert changes.events[-1].key_value.key == b"servers/i-1"
        responses.status, responses.body = 412, b'{"entries":[%b]}' % item
        assert isinstance(await client.compare_and_swap(b"k", b"v", 1), Conflict)

    async def test_whole_characters_are_kept(self, client, responses):
        """Two code units make a character, and a backslash may be escaped."""
        whole = b"\\ud83d\\ude00\\\\ud800"
        items = b",".join(
            b'{"key":"servers/%b","value":"e30=","revision":5}' % each
            for each in (whole, b"\\ud800")
        )
        responses.body = b'{"store-revision":5,"entries":[%b]}' % items
        listing = await client.list_prefix(b"servers/")
        assert listing.entries[0].key.decode() == "servers/\U0001f600\\ud800"


class TestLeases:
    """Leases that no store grants."""

    @pytest.mark.parametrize("ttl_ms", [-1, 2**53 + 1, 10**400])
    async def test_time_to_live_beyond_a_float_ends_its_user(
        self, client, responses, ttl_ms
    ):
        """It is converted to seconds."""
        responses.body = b'{"ttl-ms":%d,"lease":7}' % ttl_ms
        assert isinstance(await client.grant_lease(5.0), Unavailable)
        assert isinstance(await client.keep_alive(7), Unavailable)
