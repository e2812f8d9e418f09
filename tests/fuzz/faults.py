"""Faults to inject, each with the violated guarantee and the test that detects it."""

from dataclasses import dataclass

REQUESTS = "tests/fuzz/test_fuzz_requests.py"
SETTINGS = "tests/fuzz/test_fuzz_settings.py"
ORDERS = "tests/fuzz/test_fuzz_orders.py"
IDEMPOTENCY = "tests/fuzz/test_fuzz_idempotency.py"
AGENT_MACHINE = "libs/agent/tests/test_agent_machine.py"
AGENT_DAEMON = "libs/agent/tests/test_agent_daemon.py"
AGENT_PROBE = "libs/agent/tests/test_agent_target_probe.py"
TRANSPORT_HTTP = "libs/transport/tests/test_transport_http.py"
ROUTER_MACHINE = "libs/router/tests/test_router_machine.py"

ONCE = "1 dispatched at most once"
TIERS = "2 tiers"
COMPLETE = "3 own complete response"
NOT_RUN = "4 not-run is accurate"
KEY = "5 a key runs at most once"
LEAVING = "6 a leaving target gets no new requests"
SHUTDOWN = "7 shutdown finishes running requests"
SETTINGS_EFFECTIVE = "8 accepted settings stay effective"
FENCED = "9 an expired lease holder changes nothing"
ENDS = "10 every request ends in time"


@dataclass(frozen=True, slots=True)
class Edit:
    """Replacement of a text in a source file.

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
    """A fault to inject.

    Parameters
    ----------
    name : str
        Description of the fault.
    guarantee : str
        The guarantee that it violates.
    edits : tuple of Edit
        Edits that inject it; all in one library.
    test : str
        Test that must fail.
    expected_message : str
        Pattern that the output must match; empty if any failure will do.
    """

    name: str
    guarantee: str
    edits: tuple[Edit, ...]
    test: str
    expected_message: str = ""


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
        "pruning a record raises no floor",
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
        "a lost grant is placed again without a revoke result",
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
        "a revoke result of another incarnation is accepted",
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
        "not-run, but dispatched|dispatched twice|dispatched after not-run",
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
        "not-run is reported after a lost grant",
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
        "a new request is refused whatever its tier",
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
        "a queue-full refusal is repeated when there is space again",
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
        "a lower tier was offered a slot first",
    ),
    Fault(
        "a conditional grant overtakes queued requests",
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
        "dispatched ahead of a queued request",
    ),
    Fault(
        "headroom is reserved for the lower tiers",
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
        "a refusal by an earlier incarnation counts for the current one",
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
        "a broken response is reported as complete",
        COMPLETE,
        (
            Edit(
                "router/_granting",
                'end_unknown(core, state, "the response ended before it was complete")',
                "end_complete(core, state)",
            ),
        ),
        REQUESTS,
        "complete without its own full response",
    ),
    Fault(
        "a truncated body is treated as complete",
        COMPLETE,
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
        "an event stream without its end marker is treated as complete",
        COMPLETE,
        (Edit("agent/_dispatch", "if not meter.is_complete:", "if False:"),),
        f"{AGENT_DAEMON}::TestDispatch::test_broken_stream_is_aborted",
    ),
    Fault(
        "a target that does not respond confirms the end of its response",
        COMPLETE,
        (Edit("agent/_target_probe", "return False", "return True"),),
        f"{AGENT_PROBE}::TestEndedTarget"
        "::test_target_that_does_not_respond_confirms_nothing",
    ),
    Fault(
        "another process confirms the end of a response",
        COMPLETE,
        (
            Edit(
                "agent/_target_probe",
                "return self._answers_last and self._process_number == process_number",
                "return self._answers_last",
            ),
        ),
        f"{AGENT_PROBE}::TestEndedTarget"
        "::test_process_that_replaces_it_confirms_nothing",
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
            # Disables the machine's own check, so that only the oracle detects it.
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
        "a key is released after an unknown outcome",
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
        "another request's record is treated as its own",
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
        "a router that starts just after a restore claims keys",
        KEY,
        (Edit("router/_restore_grace", "if not self.is_settled:", "if False:"),),
        IDEMPOTENCY,
        "an idempotency key ran twice",
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
        SETTINGS_EFFECTIVE,
        (
            Edit(
                "settings/_replica",
                "document.version <= self.version:",
                "document.version == self.version:",
            ),
        ),
        SETTINGS,
        "a version decreased",
    ),
    Fault(
        "a starting node serves less than the announced version",
        SETTINGS_EFFECTIVE,
        (
            Edit(
                "settings/_replica",
                "is_current = self.version >= self._highest_known_version",
                "is_current = True",
            ),
        ),
        SETTINGS,
        "outdated version served",
    ),
    Fault(
        "a conflict of two patches is not detected",
        SETTINGS_EFFECTIVE,
        (Edit("settings/_merge", "    if conflicting:\n", "    if False:\n"),),
        SETTINGS,
        "an unseen change was overwritten",
    ),
    Fault(
        "a repeated patch is applied again",
        SETTINGS_EFFECTIVE,
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
        "the gate does not compare fencing tokens",
        FENCED,
        (Edit("orders/_gate", "if current.mod_revision != fencing:", "if False:"),),
        ORDERS,
        "an order of an expired holder",
    ),
    Fault(
        "an order is sent under a lease that is about to expire",
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
        "no request ends at its deadline",
        ENDS,
        (
            Edit(
                "router/_arrivals",
                "if state is not None and state.grant is None:",
                "if False:",
            ),
        ),
        REQUESTS,
        "not ended at its deadline",
    ),
    Fault(
        "not-run is reported without a retry-after time",
        ENDS,
        (
            Edit(
                "router/_ending",
                "refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS",
                "0",
            ),
        ),
        REQUESTS,
        "not-run without a retry-after time",
    ),
    Fault(
        "a revoke is not resent",
        ENDS,
        (
            Edit(
                "router/_granting",
                "    core.timers.add(now + delay, callback)\n",
                "    del delay, callback\n",
            ),
        ),
        REQUESTS,
        "requests without a final response",
    ),
)
