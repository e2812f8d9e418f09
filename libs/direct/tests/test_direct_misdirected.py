"""Responses by which a target declines a request that another could run."""

import pytest

from direct_fleet import answers, head

pytestmark = pytest.mark.anyio


def serves_version(version):
    """Return a script that declines requests for another version of the weights."""

    async def script(request, writer):
        if request.headers.get("expect-version", version) == version:
            await answers("ok")(request, writer)
        else:
            writer.write(head(request, status="421 Misdirected Request", length=0))

    return script


class TestMisdirected:
    """Status 421."""

    async def test_one_request_takes_targets_out_of_use(self, running):
        """Its caller names a version that they don't have; others do not."""
        async with running(serves_version("1"), serves_version("1")) as fleet:
            declined = await fleet.call("/idempotent/", Expect_Version="2")
            assert declined.status == 503
            for _ in range(6):
                assert (await fleet.call("/idempotent/")).status == 200

    async def test_target_with_another_incarnation_is_not_used_again(self, running):
        """Without such a header another process answers at the address."""

        async def other(request, writer):
            writer.write(head(request, status="421 Misdirected Request", length=0))

        async with running(other, answers("ok")) as fleet:
            for _ in range(8):
                assert (await fleet.call("/idempotent/")).status == 200
            assert len(fleet.targets[0].received) <= 1
