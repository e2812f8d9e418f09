"""Deliberate faults, each with the promise that it breaks and who must notice."""

from dataclasses import dataclass

REQUESTS = "tests/fuzz/test_fuzz_requests.py"
SETTINGS = "tests/fuzz/test_fuzz_settings.py"
ORDERS = "tests/fuzz/test_fuzz_orders.py"
IDEMPOTENCY = "tests/fuzz/test_fuzz_idempotency.py"
AGENT_MACHINE = "libs/agent/tests/test_agent_machine.py"
AGENT_DAEMON = "libs/agent/tests/test_agent_daemon.py"
TRANSPORT_HTTP = "libs/transport/tests/test_transport_http.py"
ROUTER_MACHINE = "libs/router/tests/test_router_machine.py"

ONCE = "1 dispatched at most once"
TIERS = "2 tiers"
WHOLE = "3 own whole answer"
NOT_RUN = "4 not-run is true"
KEY = "5 a key runs at most once"
LEAVING = "6 a leaving target gets nothing new"
SHUTDOWN = "7 shutdown finishes what runs"
IN_FORCE = "8 accepted settings stay in force"
FENCED = "9 a lapsed holder changes nothing"
ENDS = "10 every request ends in time"


@dataclass(frozen=True, slots=True)
class Edit:
    """A text in a source file, and what takes its place.

    Parameters
    ----------
    path : str
        ``lib/module`` below ``libs``, without the suffix.
    old, new : str
        ``old`` occurs exactly once.
    """

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Fault:
    """One deliberate fault.

    Parameters
    ----------
    name : str
        What is wrong.
    promise : str
        The promise that it breaks.
    edits : tuple of Edit
        What plants it; all in one library.
    test : str
        Test that must fail.
    rule : str
        Text that the failure must show; empty where the test has one rule.
    """

    name: str
    promise: str
    edits: tuple[Edit, ...]
    test: str
    rule: str = ""


FAULTS = (
    Fault(
        "tombstones are ignored",
        NOT_RUN,
        (
            Edit(
                "agent/_grants",
                "if is_stale_router or self._is_tombstoned(grant):",
                "if is_stale_router:",
            ),
        ),
        REQUESTS,
        "dispatched",
    ),
    Fault(
        "a grant for another incarnation is accepted",
        ONCE,
        (
            Edit(
                "agent/_grants",
                "if (grant.agent, grant.agent_incarnation) != self._identity:",
                "if grant.agent != self._identity[0]:",
            ),
        ),
        f"{AGENT_MACHINE}::TestAtMostOnce::test_grant_for_another_incarnation",
    ),
    Fault(
        "a repeated grant is dispatched again",
        ONCE,
        (
            Edit(
                "agent/_grants",
                "if self._attempts.is_dispatched(grant.request_id):",
                "if False:",
            ),
        ),
        f"{AGENT_MACHINE}::TestAtMostOnce::test_doubled_grant",
    ),
    Fault(
        "forgetting raises no floor",
        NOT_RUN,
        (
            Edit(
                "agent/_attempt_registry",
                "            self._raise_floor(request_id)\n",
                "",
            ),
        ),
        REQUESTS,
        "dispatched",
    ),
    Fault(
        "a second grant is issued while the first is outstanding",
        ONCE,
        (
            Edit(
                "router/_request_state",
                "return self.grant is None and self.key is not",
                "return self.key is not",
            ),
            Edit("router/_issuing", "    withdraw_reservations(core, state)\n", ""),
        ),
        REQUESTS,
        "dispatched twice",
    ),
    Fault(
        "a lost grant is placed again without the agent's word",
        ONCE,
        (
            Edit(
                "router/_granting",
                "        return\n    _send_revoke(core, state, grant, now)\n\n\n"
                "def on_revoke_result",
                "        return\n    _clear_grant(state)\n"
                "    place(core, state, now)\n\n\n"
                "def on_revoke_result",
            ),
        ),
        REQUESTS,
        "dispatched twice",
    ),
    Fault(
        "a revoke's result is trusted from another incarnation",
        NOT_RUN,
        (
            Edit(
                "router/_granting",
                "expected = (grant.agent, grant.incarnation, grant.attempt)",
                "expected = (grant.agent, incarnation, grant.attempt)",
            ),
            Edit(
                "router/_granting",
                "if grant is None or grant.lost_at is None:\n        return\n"
                "    if _agent_restarted(core, grant):",
                "if grant is None or grant.lost_at is None:\n        return\n"
                "    if False:",
            ),
            Edit(
                "router/_granting",
                "    grant.lost_at = now\n    if _agent_restarted(core, grant):",
                "    grant.lost_at = now\n    if False:",
            ),
        ),
        REQUESTS,
        "not-run, yet dispatched|dispatched twice|dispatched after not-run",
    ),
    Fault(
        "a revoke leaves no tombstone",
        NOT_RUN,
        (
            Edit(
                "agent/_messages",
                "        self._reservations.cancel(request_id, attempt, now)\n"
                "        self._send_revoke_result(request_id, attempt, ran=False)",
                "        self._send_revoke_result(request_id, attempt, ran=False)",
            ),
        ),
        REQUESTS,
        "dispatched",
    ),
    Fault(
        "not-run is told after a lost grant",
        NOT_RUN,
        (
            Edit(
                "router/_granting",
                "        return\n    _send_revoke(core, state, grant, now)\n\n\n"
                "def on_revoke_result",
                "        return\n    _clear_grant(state)\n"
                "    retry_or_end(core, state, 1e9)\n\n\n"
                "def on_revoke_result",
            ),
        ),
        REQUESTS,
        "not-run",
    ),
    Fault(
        "a duplicate is read as not-run",
        NOT_RUN,
        (
            Edit(
                "router/_granting",
                "if refusal.reason is RefusalReason.DUPLICATE:",
                "if False:",
            ),
        ),
        f"{ROUTER_MACHINE}::TestLostGrants::test_duplicate_is_not_read_as_not_run",
    ),
    Fault(
        "the highest tier is evicted",
        TIERS,
        (Edit("admission/_admission_queue", "rank = max((r for", "rank = min((r for"),),
        REQUESTS,
        "shed while a lower tier waits",
    ),
    Fault(
        "the newcomer is refused whatever its tier",
        TIERS,
        (
            Edit(
                "agent/_reservations",
                "while len(self.waiting) > self._max_waiting:\n"
                "            victim = self.waiting.eviction_candidate()",
                "if len(self.waiting) > self._max_waiting:\n"
                "            victim = newest",
            ),
        ),
        REQUESTS,
        "shed while a lower tier waits",
    ),
    Fault(
        "a refusal for room is repeated when there is room again",
        TIERS,
        (
            Edit(
                "agent/_messages",
                "if not is_same or self._has_room_again(reason, message.tier_rank):",
                "if not is_same:",
            ),
        ),
        f"{AGENT_MACHINE}::TestAdmissionQueue"
        "::test_queue_full_refusal_is_not_repeated_when_there_is_space",
    ),
    Fault(
        "the lowest tier goes first",
        TIERS,
        (
            Edit(
                "admission/_admission_queue",
                "return min(ranks, default=None)",
                "return max(ranks, default=None)",
            ),
        ),
        REQUESTS,
        "a lower tier had its turn first",
    ),
    Fault(
        "a conditional grant overtakes those who wait",
        TIERS,
        (
            Edit(
                "agent/_grants",
                "if waiting.has_entry_ahead(rank):\n            return False",
                "if False:\n            return False",
            ),
            Edit(
                "agent/_slots",
                "return self.in_use < self._tier_slot_limit(rank, highest_waiting)",
                "return True",
            ),
        ),
        REQUESTS,
        "dispatched past a waiting request",
    ),
    Fault(
        "headroom is kept from the higher tiers",
        TIERS,
        (Edit("admission/_headroom", "if tier.rank < rank)", "if tier.rank > rank)"),),
        f"{AGENT_MACHINE}::TestTarget::test_low_tier_leaves_headroom",
    ),
    Fault(
        "a request is shed after one refusal",
        TIERS,
        (
            Edit(
                "router/_placing",
                "    if not untried:\n        return None\n",
                "    if not untried or state.refusals_by_agent:\n        return None\n",
            ),
            Edit(
                "router/_placing",
                "in state.refusals_by_agent.items()\n        if agent in agents\n",
                "in state.refusals_by_agent.items()\n",
            ),
        ),
        REQUESTS,
        "shed before every target refused",
    ),
    Fault(
        "a refusal by an earlier incarnation counts for the present one",
        TIERS,
        (
            Edit(
                "router/_granting",
                "grant = _clear_grant(state)\n    if _agent_restarted(core, grant):",
                "grant = _clear_grant(state)\n    if False:",
            ),
        ),
        f"{ROUTER_MACHINE}::TestLostGrants"
        "::test_refusal_of_an_earlier_incarnation_does_not_count",
    ),
    Fault(
        "a broken answer is told as complete",
        WHOLE,
        (
            Edit(
                "router/_granting",
                'end_unknown(core, state, "the response ended before it was complete")',
                "end_complete(core, state)",
            ),
        ),
        REQUESTS,
        "complete without its own whole answer",
    ),
    Fault(
        "a truncated body is taken for whole",
        WHOLE,
        (
            Edit(
                "transport/_response_connection",
                'self._fail("connection closed before the end of the body")',
                "self.complete = True",
            ),
        ),
        f"{TRANSPORT_HTTP}::TestBrokenResponse::test_truncated_body_raises",
    ),
    Fault(
        "an event stream without its end marker is taken for whole",
        WHOLE,
        (Edit("agent/_dispatch", "if not meter.is_complete:", "if False:"),),
        f"{AGENT_DAEMON}::TestDispatch::test_broken_stream_is_aborted",
    ),
    Fault(
        "a grant does not wait for its key",
        KEY,
        (
            Edit(
                "router/_request_state",
                "return self.grant is None and self.key is not KeyState.PENDING",
                "return self.grant is None",
            ),
            # The machine's own guard, so that the oracle alone can notice.
            Edit(
                "router/_ending",
                "if state.phase not in (Phase.UNPLACED, Phase.WAITING):",
                "if False:",
            ),
        ),
        REQUESTS,
        "an idempotency key ran twice|not-run",
    ),
    Fault(
        "a key is released after an unknown end",
        KEY,
        (
            Edit(
                "router/_ending",
                "    response = FinalResponse(Outcome.UNKNOWN,",
                "    _release_key(core, state)\n"
                "    response = FinalResponse(Outcome.UNKNOWN,",
            ),
        ),
        REQUESTS,
        "an idempotency key ran twice",
    ),
    Fault(
        "another request's record is taken for one's own",
        KEY,
        (
            Edit(
                "router/_idempotency",
                "return record is not None and record.request_id == "
                "str(request.request_id)",
                "return record is not None",
            ),
        ),
        IDEMPOTENCY,
        "an idempotency key ran twice",
    ),
    Fault(
        "a key that is held may be claimed again",
        KEY,
        (
            Edit(
                "router/_idempotency",
                "if isinstance(result, Conflict) and result.current is not None:\n"
                "                return refusal_for_record(result.current, request)",
                "if isinstance(result, Conflict) and result.current is not None:\n"
                "                return Claimed()",
            ),
        ),
        IDEMPOTENCY,
    ),
    Fault(
        "a draining agent dispatches",
        LEAVING,
        (
            Edit(
                "agent/_grants",
                "if self._target.leaving:\n            return RefusalReason.LEAVING",
                "if False:\n            return RefusalReason.LEAVING",
            ),
        ),
        REQUESTS,
        "dispatched by a draining agent",
    ),
    Fault(
        "an agent reports its drain while a request runs",
        SHUTDOWN,
        (
            Edit(
                "agent/_machine",
                "is_idle = not self._slots.running_by_id",
                "is_idle = True",
            ),
        ),
        REQUESTS,
        "drained while a request runs",
    ),
    Fault(
        "a router reports its drain with requests left",
        SHUTDOWN,
        (
            Edit(
                "router/_machine",
                "if core.requests_by_id or core.unclaimed_by_id:",
                "if core.unclaimed_by_id:",
            ),
        ),
        REQUESTS,
        "drained with requests left",
    ),
    Fault(
        "a replica accepts a lower version",
        IN_FORCE,
        (
            Edit(
                "settings/_replica",
                "document.version <= self.version:",
                "document.version == self.version:",
            ),
        ),
        SETTINGS,
        "a node went back",
    ),
    Fault(
        "a node that starts serves below what it has heard of",
        IN_FORCE,
        (
            Edit(
                "settings/_replica",
                "is_current = self.version >= self._highest_known_version",
                "is_current = True",
            ),
        ),
        SETTINGS,
        "serves an old version",
    ),
    Fault(
        "a clash of two patches is not noticed",
        IN_FORCE,
        (Edit("settings/_merge", "    if conflicting:\n", "    if False:\n"),),
        SETTINGS,
        "a change was overwritten unseen",
    ),
    Fault(
        "a repeated patch is applied again",
        IN_FORCE,
        (
            Edit(
                "settings/_merge",
                "if known is not None and known.digest == patch.digest():",
                "if False:",
            ),
        ),
        SETTINGS,
    ),
    Fault(
        "the gate compares no fencing number",
        FENCED,
        (Edit("orders/_gate", "if current.mod_revision != fencing:", "if False:"),),
        ORDERS,
        "an order of a lapsed holder",
    ),
    Fault(
        "an order is sent under a lease that nearly lapsed",
        FENCED,
        (
            Edit(
                "orders/_sender",
                "if lease.remaining_s(self._clock()) < MIN_REMAINING_S:",
                "if False:",
            ),
        ),
        ORDERS,
        "sent with",
    ),
    Fault(
        "no request is given up at its deadline",
        ENDS,
        (
            Edit(
                "router/_arrivals",
                "if state is not None and state.grant is None:",
                "if False:",
            ),
        ),
        REQUESTS,
        "not given up at its deadline",
    ),
    Fault(
        "not-run is told without when to return",
        ENDS,
        (
            Edit(
                "router/_ending",
                "refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS",
                "0",
            ),
        ),
        REQUESTS,
        "not-run without when to return",
    ),
    Fault(
        "a revoke is sent once only",
        ENDS,
        (
            Edit(
                "router/_granting",
                "    core.timers.add(now + delay, callback)\n",
                "    del delay, callback\n",
            ),
        ),
        REQUESTS,
        "requests without a final answer",
    ),
)
