"""Fixtures: a fleet of real processes, shared by the tests of this folder."""

import itertools
import re
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from dataclasses import replace
from hashlib import sha256

import httpcore
import msgspec
import pytest

from berylwalk.localfleet import (
    AnswerEnd,
    ChatCall,
    CheckedAnswer,
    CheckedCaller,
    EngineSpec,
    FleetSpec,
    LocalFleet,
    RouterSpec,
    ServiceSpec,
    admin_request,
    agent_name,
    post_json,
)

WAIT_S = 60.0
POLL_S = 0.05
GRACE_SUBNET_OFFSET = 2
TOKENS = {"parkovisko": "parkovisko-test-token", "arsivsan": "arsivsan-test-token"}
ENGINES = ("engine-1", "engine-2", "engine-3")
ROUTERS = ("entry-1", "entry-2")
SERVICE = "signs-1"
NOT_DISPATCHED = (AnswerEnd.NOT_RUN, AnswerEnd.INVALID)
VERSION_METRIC = re.compile(r"^berylwalk_\w+_settings_version (\S+)$", re.MULTILINE)
REPLAYED_HEADER = "berylwalk-replayed"
TREE = """
[tier urgent]
rank = 0
deadline_s = 60

[tier unattended]
rank = 2
deadline_s = 60

[/]
tier = unattended

[/parkovisko]
credential_sha256 = {parkovisko}

[/parkovisko/sign-drafts]
tier = urgent

[/parkovisko/signs]
tier = urgent
idempotent = false

[/arsivsan]
credential_sha256 = {arsivsan}
"""


def fleet_spec() -> FleetSpec:
    """Return 2 routers, 3 slow engines with 2 slots each, and a service."""
    digests = {name: sha256(t.encode()).hexdigest() for name, t in TOKENS.items()}
    domains = ("kosice-a", "kosice-b", "presov")
    return FleetSpec(
        routers=(
            RouterSpec(ROUTERS[0], domains[0]),
            RouterSpec(ROUTERS[1], domains[1]),
        ),
        targets=(
            *(
                EngineSpec(n, d, step_ms=20.0)
                for n, d in zip(ENGINES, domains, strict=True)
            ),
            ServiceSpec(SERVICE, domains[0], services=("signs",)),
        ),
        settings_tree=TREE.format(**digests),
        overrides={
            "admission": {
                "min_limit": "2",
                "initial_limit": "2",
                "max_limit": "2",
                "max_waiting": "30",
            },
            "caller": {"max_body_bytes": "65536", "body_timeout_s": "2"},
        },
    )


class FleetUnderTest:
    """A running fleet, its caller, and the requests that its targets received."""

    def __init__(self, fleet: LocalFleet, caller: CheckedCaller) -> None:
        self.fleet = fleet
        self.caller = caller
        self.urls = fleet.caller_urls()
        self.responses: list[CheckedAnswer] = []
        self._numbers = itertools.count()

    def chat(self, router: int, tokens: int = 40, **options) -> Future[CheckedAnswer]:
        """Start a chat completion with a unique text."""
        fields = {"token": TOKENS["parkovisko"], "service": ""} | options
        text = f"Call {next(self._numbers)}"
        call = ChatCall(text=text, max_tokens=tokens, **fields)
        return self.caller.start_chat(self.urls[router], call)

    def chats(self, count: int, routers=(0, 1), **options) -> list:
        """Start chat completions through alternating routers, half of them streamed."""
        turns = itertools.cycle(routers)
        kinds = itertools.cycle((True, True, False, False))
        return [
            self.chat(next(turns), **({"stream": next(kinds)} | options))
            for _ in range(count)
        ]

    def post(self, router: int, path: str, *, key: str = "", content: bytes = b"x"):
        """Start a non-idempotent request to the plain service."""
        headers = {"Idempotency-Key": key} if key else {}
        return self.caller.start_request(
            "POST",
            f"{self.urls[router]}/services/signs{path}",
            token=TOKENS["parkovisko"],
            content=content,
            headers=headers,
        )

    def results(self, calls: list[Future[CheckedAnswer]]) -> list[CheckedAnswer]:
        """Wait for the responses, assert that none is wrong, and record them."""
        responses = [call.result(2 * WAIT_S) for call in calls]
        self.responses += responses
        wrong = [response for response in responses if response.end is AnswerEnd.WRONG]
        assert wrong == []
        return responses

    def admin(self, method: str, path: str, *, router: int = 0, **options):
        """Send a request to a router's admin API."""
        address = self.fleet.subnet.router(router)
        return admin_request(
            method, f"http://{address}:8081/admin/v1/{path}", **options
        )

    def targets(self, router: int = 0) -> dict[str, dict]:
        """Return the targets by agent as a router sees them."""
        response = self.admin("GET", "targets", router=router)
        rows = msgspec.json.decode(response.content)["targets"]
        return {row["agent"]: row for row in rows}

    def versions(self, router: int = 0) -> dict[str, int]:
        """Return the settings version of each node as a router sees it."""
        response = self.admin("GET", "nodes", router=router)
        rows = msgspec.json.decode(response.content)["nodes"]
        return {row["node_id"]: row["settings_version"] for row in rows}

    def own_versions(self) -> dict[str, int]:
        """Return the settings version that each node reports in its metrics."""
        subnet = self.fleet.subnet
        addresses = {name: subnet.router(i) for i, name in enumerate(ROUTERS)}
        names = (*ENGINES, SERVICE)
        addresses |= {name: subnet.target(i) for i, name in enumerate(names)}
        return {name: _own_version(each) for name, each in addresses.items()}

    def seen_at(self, vm_id: str) -> Counter[str]:
        """Return how often a target received each request."""
        response = httpcore.request(
            "GET", f"{self.fleet.target_url(vm_id)}/control/seen"
        )
        return Counter(msgspec.json.decode(response.content)["requests"])

    def seen(self) -> Counter[str]:
        """Return how often each request was received, summed over all targets."""
        return sum(map(self.seen_at, (*ENGINES, SERVICE)), Counter())

    def seen_with_key(self, key: str) -> int:
        """Return how often the service received an idempotency key."""
        url = f"{self.fleet.target_url(SERVICE)}/control/seen"
        seen = msgspec.json.decode(httpcore.request("GET", url).content)
        return seen["idempotency_keys"].get(key, 0)

    def platform(self, **faults) -> None:
        """Set the platform's faults; faults that are not named are cleared."""
        post_json(f"{self.fleet.platform_url()}/control/faults", faults)

    def store_control(self, action: str) -> None:
        """Take a ``copy`` of the platform's store, or ``restore`` it from the copy."""
        post_json(f"{self.fleet.platform_url()}/control/{action}", {})

    def set_vm_state(self, vm_id: str, state: str, *, lag_s: float = 0.0) -> None:
        """Change the listed state of a VM; the list shows it after the lag."""
        control = f"{self.fleet.platform_url()}/control/vms"
        response = httpcore.request("GET", f"{self.fleet.platform_url()}/v1/vms")
        vms = msgspec.json.decode(response.content)["vms"]
        for vm in vms:
            vm["state"] = state if vm["vm_id"] == vm_id else vm["state"]
        post_json(control, {"vms": vms, "vm_list_lag_s": lag_s})

    def process(self, name: str):
        """Return the process of a router's VM, or of the agent on a target's VM."""
        name = name if name in ROUTERS else agent_name(name)
        return self.fleet.processes_by_name[name]

    def restart(self, name: str) -> None:
        """Start a stopped router or agent and wait until the fleet is idle."""
        self.process(name).start()
        self.wait_until_idle()

    def recover(self) -> None:
        """Clear platform faults, and resume or restart stopped processes."""
        self.platform()
        for name in (*ROUTERS, *ENGINES, SERVICE):
            self.process(name).thaw()
            if self.process(name).returncode is not None:
                self.process(name).start()

    def accepted(self, router: int) -> int:
        """Return the number of requests queued or running at a router."""
        response = self.admin("GET", "tiers", router=router)
        tiers = msgspec.json.decode(response.content)["tiers"]
        return sum(tier["waiting"] + tier["running"] for tier in tiers)

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        """Poll until a condition holds."""
        end = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < end, (
                f"timed out after {WAIT_S:g} s waiting for {what}"
            )
            time.sleep(POLL_S)

    def is_idle(self) -> bool:
        """Whether all targets are idle and all nodes have the same settings version."""
        for router in range(len(ROUTERS)):
            targets = self.targets(router)
            if set(targets) != {*ENGINES, SERVICE}:
                return False
            if not all(_is_target_idle(target) for target in targets.values()):
                return False
        return len(set(self.own_versions().values())) == 1

    def wait_until_idle(self) -> None:
        """Wait until the fleet is complete and idle."""
        self.fleet.wait_ready()
        self.wait(self.is_idle, "all targets to be reachable and idle")

    def check(self, before: Counter[str]) -> None:
        """Assert that no request was received twice and that responses match.

        ``before`` holds the counts at the start of the test.
        """
        seen = self.seen()
        duplicated = {each for each, count in seen.items() if count > 1}
        assert {each for each in duplicated if seen[each] > before[each]} == set()
        for response in self.responses:
            if (
                response.end is AnswerEnd.WHOLE
                and REPLAYED_HEADER not in response.headers
            ):
                assert seen[response.request_id] == 1
            if response.end in NOT_DISPATCHED or response.code == "key-in-use":
                assert seen[response.request_id] == 0


def _own_version(address: str) -> int:
    metrics = httpcore.request("GET", f"http://{address}:8082/metrics")
    return int(float(VERSION_METRIC.search(metrics.content.decode())[1]))


def _is_target_idle(target: dict) -> bool:
    usable = target["reachable"] and not target["leaving"]
    return usable and not target["running"] and not target["waiting"]


@pytest.fixture(scope="session")
def started_fleet() -> Iterator[FleetUnderTest]:
    """Start the fleet; assert on teardown that routers and agents exit with 0."""
    fleet = LocalFleet.from_spec(fleet_spec())
    caller = CheckedCaller()
    try:
        fleet.start()
        yield FleetUnderTest(fleet, caller)
    finally:
        codes = fleet.close()
        caller.close()
    assert {name: codes[name] for name in fleet.daemon_names()} == dict.fromkeys(
        fleet.daemon_names(), 0
    )


@pytest.fixture
def fleet(started_fleet) -> Iterator[FleetUnderTest]:
    """Return the idle fleet; check the received requests on teardown."""
    started_fleet.wait_until_idle()
    started_fleet.responses.clear()
    before = started_fleet.seen()
    yield started_fleet
    started_fleet.recover()
    started_fleet.wait_until_idle()
    started_fleet.check(before)


@pytest.fixture
def fleet_with_grace() -> Iterator[FleetUnderTest]:
    """Start a router that is killed a time after SIGTERM, and one engine."""
    spec = fleet_spec()
    spec = replace(
        spec,
        routers=spec.routers[:1],
        targets=spec.targets[:1],
        overrides=spec.overrides | {"stop": {"grace_s": "4"}},
    )
    fleet = LocalFleet.from_spec(spec, subnet_offset=GRACE_SUBNET_OFFSET)
    caller = CheckedCaller()
    try:
        fleet.start()
        yield FleetUnderTest(fleet, caller)
    finally:
        fleet.close()
        caller.close()


@pytest.fixture
def tokens() -> dict[str, str]:
    """Return the bearer tokens by client account."""
    return TOKENS
