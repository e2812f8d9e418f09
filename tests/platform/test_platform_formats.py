"""Decoding of the platform's data formats."""

from json import dumps

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import DecodeError, ValidationError

from berylwalk.affinity import parts_hash
from berylwalk.dispatch import (
    RouteKind,
    SharedPrefix,
    TargetEntry,
    TargetState,
    VmLimits,
    Work,
)
from berylwalk.platform import (
    EntryProblem,
    InvalidHeaders,
    KeyValue,
    UnusableEntry,
    decode_configuration,
    decode_target,
    decode_vm_settings,
    headers_for_target,
    headers_to_resume,
    is_not_executed,
    parse_request_headers,
    refusal_headers,
)
from berylwalk.platform._eras import era_from
from berylwalk.platform._headers import MAX_TOKENS
from berylwalk.platform._store_messages import decode_items, decode_range

SETTINGS = {
    "node-name": "edge-1",
    "ip": "127.0.0.1",
    "zone": "fd-a",
    "listen": {"front": "127.0.0.1:8221", "readiness": "127.0.0.1:8224"},
    "port-range": [7600, 7615],
    "heartbeat-ms": 1500,
    "bounds": {
        "grace-s": 8,
        "revoke-ms": 5000,
        "drain-ms": 3000,
        "config-ms": 2500,
        "quota-window-s": 6,
        "new": True,
    },
    "platform": {"address": "127.0.0.2:8225", "ttl-min-ms": 1000},
    "unknown": {"field": 1},
}
ROUTE = {
    "name": "r-1",
    "hostname": "h.example",
    "path-prefix": "/p/",
    "route-kind": "streaming",
    "timeout-ms": 12000,
    "goal-ms": 400,
    "priority": 1,
    "service": "s1",
    "max-attempts": 2,
    "resumable": True,
    "gap-target-ms": 300,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "s1", "max-conns": 230, "engine": {"slots": 9, "kv-capacity": 500}}
    ],
    "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000},
    "tenants": [
        {
            "name": "t1",
            "api-keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "plain-tokens": 200,
            "rate-per-s": 100,
            "burst": 50,
        }
    ],
}
CALL = [
    (b"Host", b"h.example"),
    (b"Attempt-Id", b"a1"),
    (b"Deadline-Ms", b"1500"),
    (b"Token-Count", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"X-Api-Key", b"k1"),
]
PARTS_HASH = parts_hash([b"5c1e", b"91bd"])
NO_PARTS = [each for each in CALL if each[0] != b"Prompt-Prefix"]


TARGET = {
    "service": "s1",
    "address": "127.0.0.9:80",
    "zone": "fd-b",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-left-ms": 0,
    "seq-no": 4,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def item(**changes):
    """Return a target's entry with changed fields; None removes a field."""
    value = {
        name: field
        for name, field in {**TARGET, **changes}.items()
        if field is not None
    }
    return KeyValue(b"servers/i-1", encoded(value), 1)


def encoded(value):
    """Return JSON as bytes."""
    return dumps(value).encode()


class TestSettings:
    """Settings file of a VM."""

    def test_known_fields_are_decoded(self):
        """Unknown fields must be ignored."""
        settings = decode_vm_settings(encoded(SETTINGS))
        assert (settings.name, settings.failure_domain) == ("edge-1", "fd-a")
        assert settings.caller_address.port == 8221
        assert settings.store_address.host == "127.0.0.2"
        assert (settings.peer_port, settings.metrics_port) == (7600, 7601)
        assert settings.key_revocation_s == 5.0
        assert (settings.drain_s, settings.configuration_s) == (3.0, 2.5)
        assert settings.heartbeat_s == 1.5
        assert settings.allowances.window_s == 6.0

    def test_limits_of_the_vm(self):
        """Limits have units of bytes; a missing or zero one does not apply."""
        limits = {"memory-mb": 200, "max-fds": 4100, "link-mbps": 10.0, "cpu-share": 0}
        settings = decode_vm_settings(encoded({**SETTINGS, "limits": limits}))
        assert settings.limits == VmLimits(
            memory_bytes=200 * 2**20, descriptors=4100, link_bytes_per_s=1_250_000.0
        )
        without = {key: value for key, value in SETTINGS.items() if key != "limits"}
        assert decode_vm_settings(encoded(without)).limits == VmLimits()

    @pytest.mark.parametrize(
        ("contracts", "crash"), [({}, False), (["base"], False), (["pressure"], True)]
    )
    def test_rules_tell_whether_targets_crash_when_full(self, contracts, crash):
        changes = {"contracts": contracts} if contracts else {}
        settings = decode_vm_settings(encoded({**SETTINGS, **changes}))
        assert settings.targets_crash_when_full is crash

    def test_missing_field_is_named(self):
        """The error must name the missing field."""
        broken = {key: value for key, value in SETTINGS.items() if key != "platform"}
        with pytest.raises(ValidationError, match="platform"):
            decode_vm_settings(encoded(broken))


class TestConfiguration:
    """Configuration written by operators."""

    def test_whole_configuration(self):
        """Times are converted to seconds; keys and routes are indexed."""
        configuration = decode_configuration(encoded(CONFIGURATION))
        route = configuration.route_for("h.example", "/p/x")
        account = configuration.accounts_by_key["k2"]
        assert (route.kind, route.timeout_s, route.objective_s) == (
            RouteKind.STREAMING,
            12.0,
            0.4,
        )
        assert (route.longest_pause_s, route.repeatable) == (0.3, True)
        assert (account.name, account.counts_tokens, account.plain_cost) == (
            "t1",
            True,
            200,
        )
        assert configuration.services_by_name["s1"].engine_slots == 9
        assert configuration.limits.idle_timeout_s == 15.0

    def test_split_route_and_no_keys(self):
        """A route can be split between services; without accounts no key is checked."""
        split = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]
        route = {**ROUTE, "split": split}
        del route["service"]
        plain = {**CONFIGURATION, "routes": [route]}
        del plain["tenants"]
        configuration = decode_configuration(encoded(plain))
        shares = configuration.route_for("h.example", "/p/").shares
        assert [(share.service, share.weight) for share in shares] == [
            ("s1", 90),
            ("s2", 10),
        ]
        assert configuration.accounts_by_key is None

    @pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
    def test_only_idempotent_routes_are_repeatable(self, kind):
        """Requests that are not idempotent must not be repeated."""
        routes = [{**ROUTE, "route-kind": kind}]
        configuration = decode_configuration(
            encoded({**CONFIGURATION, "routes": routes})
        )
        route = configuration.route_for("h.example", "/p/")
        assert route.repeatable is (kind == "idempotent")

    @pytest.mark.parametrize("number", [10**20, 10**400, -(10**20)])
    @pytest.mark.parametrize(
        ("part", "name"),
        [
            ("routes", "priority"),
            ("routes", "max-attempts"),
            ("services", "max-conns"),
            ("tenants", "priority"),
            ("tenants", "plain-tokens"),
        ],
    )
    def test_integer_that_fits_no_float_or_message(self, part, name, number):
        """An engine capacity of 400 digits made a 502 of each request."""
        changed = [{**CONFIGURATION[part][0], name: number}]
        with pytest.raises(ValidationError):
            decode_configuration(encoded({**CONFIGURATION, part: changed}))

    @pytest.mark.parametrize("number", [10**20, 10**400])
    @pytest.mark.parametrize("name", ["slots", "kv-capacity", "stride"])
    def test_engine_capacity_that_fits_no_float(self, name, number):
        """Requests are compared with the capacity."""
        services = [{"name": "s1", "engine": {name: number}}]
        with pytest.raises(ValidationError):
            decode_configuration(encoded({**CONFIGURATION, "services": services}))

    @pytest.mark.parametrize("name", ["a\r\nHold: 1", "a\x00", "a\nb"])
    def test_account_name_that_ends_a_header(self, name):
        """The name is sent to targets in a header."""
        tenants = [{**CONFIGURATION["tenants"][0], "name": name}]
        with pytest.raises(ValueError, match="name of an account"):
            decode_configuration(encoded({**CONFIGURATION, "tenants": tenants}))


class TestTargets:
    """Entries that targets register."""

    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_entry(self, state):
        """Unknown fields must not make an entry unusable."""
        entry = decode_target(item(state=state, models=[]))
        assert (entry.target_id, entry.host, entry.port) == ("i-1", "127.0.0.9", 80)
        assert (entry.state is TargetState.READY) is (state == "ready")
        assert entry.started_ms is None

    def test_restart_is_a_new_incarnation(self):
        """A restarted target must not share state with its previous incarnation."""
        incarnations = [
            decode_target(item(born=born)) for born in (None, 1796254082258, 7)
        ]
        assert len({entry.incarnation_id for entry in incarnations}) == 3
        assert {entry.target_id for entry in incarnations} == {"i-1"}

    @pytest.mark.parametrize(
        ("changes", "problem"),
        [
            ({"state": "other"}, EntryProblem.UNKNOWN_STATE),
            ({"state": 1}, EntryProblem.WRONG_FIELD),
            ({"service": None}, EntryProblem.WRONG_FIELD),
            ({"service": ""}, EntryProblem.OUT_OF_RANGE),
            ({"zone": 3}, EntryProblem.WRONG_FIELD),
            ({"slots": "9"}, EntryProblem.WRONG_FIELD),
            ({"slots": 9.5}, EntryProblem.WRONG_FIELD),
            ({"slots": True}, EntryProblem.WRONG_FIELD),
            ({"slots": 0}, EntryProblem.OUT_OF_RANGE),
            ({"slots": 10**9}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9:0"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9:65536"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9:+80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "a-name.example:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9:99999999999999999999"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "127.0.0.9:80:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "0.0.0.0:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "255.255.255.255:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "224.0.0.1:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": ":::80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "::ffff:0.0.0.0:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "fe80::1%eth0:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "fe80::1%a\x00b:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": "fe80::1%\u00e9:80"}, EntryProblem.OUT_OF_RANGE),
            ({"address": 80}, EntryProblem.WRONG_FIELD),
            ({"born": "1796254082258"}, EntryProblem.WRONG_FIELD),
            ({"born": 1796254082258.5}, EntryProblem.WRONG_FIELD),
            ({"born": 0}, EntryProblem.OUT_OF_RANGE),
            ({"born": 10**13}, EntryProblem.OUT_OF_RANGE),
            ({"born": 10**400}, EntryProblem.OUT_OF_RANGE),
            ({"seq-no": "4"}, EntryProblem.WRONG_FIELD),
            ({"version": 1}, EntryProblem.WRONG_FIELD),
            ({"version": "v" * 129}, EntryProblem.OUT_OF_RANGE),
            ({"version": "v\x00"}, EntryProblem.OUT_OF_RANGE),
            ({"service": "s" * 129}, EntryProblem.OUT_OF_RANGE),
            ({"zone": "a\nb"}, EntryProblem.OUT_OF_RANGE),
            ({"cold-left-ms": "soon"}, EntryProblem.WRONG_FIELD),
        ],
    )
    def test_invalid_field_makes_entry_unusable(self, changes, problem):
        """An invalid entry must not become a target."""
        entry = decode_target(item(**changes))
        assert isinstance(entry, UnusableEntry)
        assert (entry.target_id, entry.problem) == ("i-1", problem)
        assert entry.detail

    @pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state"])
    def test_missing_field(self, name):
        """The problem must name the missing field."""
        value = {key: field for key, field in TARGET.items() if key != name}
        entry = decode_target(KeyValue(b"servers/i-1", encoded(value), 1))
        assert entry.problem is EntryProblem.WRONG_FIELD
        assert name in entry.detail

    @pytest.mark.parametrize(
        "value", [b"", b"\xff\xfe", b"{", b'"text"', b"[]", b"null", b"[" * 100_000]
    )
    def test_malformed_value(self, value):
        """Arbitrary values by other programs must not raise."""
        entry = decode_target(KeyValue(b"servers/i-1", value, 1))
        assert isinstance(entry, UnusableEntry)

    @pytest.mark.parametrize(
        "target_id", [b"", b"a/b", b"a b", b"a\r\nHold: 1", b"\xff", b"i" * 129]
    )
    def test_target_id_that_is_no_header_value(self, target_id):
        """The id is sent as a header, so it must not allow header injection."""
        entry = decode_target(KeyValue(b"servers/" + target_id, encoded(TARGET), 1))
        assert entry.problem is EntryProblem.BAD_ID

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.binary() | JSON.map(encoded), st.binary(max_size=20))
    def test_any_bytes(self, value, target_id):
        """Arbitrary bytes must yield an entry or a problem, not an exception."""
        entry = decode_target(KeyValue(b"servers/" + target_id, value, 1))
        assert isinstance(entry, UnusableEntry | TargetEntry)

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.dictionaries(st.sampled_from(sorted(TARGET)), JSON, min_size=1))
    def test_any_fields(self, changes):
        """A decoded entry must have fields within their bounds."""
        entry = decode_target(item(**changes))
        if isinstance(entry, TargetEntry):
            assert 0 < entry.slots <= 4096
            assert 0 < entry.port <= 65535
            assert entry.service
            assert entry.state in set(TargetState)


class TestItems:
    """Entries of the store, written by any program."""

    def test_malformed_item_does_not_hide_others(self):
        """Valid entries must be returned, and malformed ones counted."""
        good = {"key": "servers/i-1", "value": "e30=", "revision": 4}
        bad = [
            {"key": 7, "value": "e30=", "revision": 5},
            {"key": "servers/i-2", "value": "no base64", "revision": 6},
            {"value": "e30=", "revision": 7},
            {"key": "servers/i-3", "value": "e30=", "revision": 2**63},
            {"key": "servers/i-3", "value": "e30=", "revision": -1},
            {"key": "servers/i-3", "value": "e30=", "revision": 8, "lease": -1},
            "text",
            None,
        ]
        page = decode_range(
            encoded({"store-revision": 9, "entries": [bad[0], good, *bad[1:]]})
        )
        items, unreadable = decode_items(page.entries)
        assert [each.key for each in items] == ["servers/i-1"]
        assert unreadable == len(bad)

    @pytest.mark.parametrize("revision", [-1, 2**63, 10**400])
    def test_revision_that_fits_no_message_is_malformed(self, revision):
        """Routers tell each other revisions in messages that hold 64 bits."""
        with pytest.raises(DecodeError):
            decode_range(b'{"store-revision": %d}' % revision)

    @pytest.mark.parametrize(
        ("value", "era"),
        [(b"3", 3), (b"1000000", 10**6), (b"1000001", None), (b"9" * 5000, None)],
    )
    def test_era_that_fits_no_message_is_none(self, value, era):
        """An era is part of each revision."""
        assert era_from([(b"Store-Era", value)]) == era


class TestHeaders:
    """Request and response headers."""

    def test_headers_of_a_request(self):
        """Request id, key, time limit and sizes are parsed."""
        parsed = parse_request_headers(CALL)
        assert (parsed.request_id, parsed.api_key, parsed.time_limit_s) == (
            b"a1",
            "k1",
            1.5,
        )
        assert parsed.total_tokens == 1540
        assert parsed.work == Work(1460, 80, SharedPrefix(PARTS_HASH, 1210))
        assert parsed.prefix_problem == ""

    @pytest.mark.parametrize(
        ("hint", "work"),
        [
            (b"30", Work(1460, 30, None, 80)),
            (b"90", Work(1460, 80)),
            (b"x", Work(1460, 80)),
        ],
    )
    def test_estimate_of_the_output_keeps_the_limit(self, hint, work):
        """The output may be longer than its caller expects."""
        parsed = parse_request_headers([*NO_PARTS, (b"Length-Hint", hint)])
        assert parsed.work == work
        assert parsed.work.max_tokens == 1540

    @pytest.mark.parametrize(
        "number", [2**63 - 1, 2**64, 2**70, 10**5000], ids=["2^63", "2^64", "2^70", ""]
    )
    def test_numbers_without_bound_are_taken_from_callers(self, number):
        """They are added up, stored and told to other routers."""
        digits = b"9" * 5001 if number > 10**4000 else b"%d" % number
        headers = [
            (b"Attempt-Id", b"r"),
            (b"Token-Count", digits + b"," + digits),
            (b"Prompt-Prefix", b"a1:" + digits + b",b2:" + digits),
            (b"Length-Hint", digits),
            (b"Last-Event-Id", digits),
        ]
        parsed = parse_request_headers(headers)
        assert parsed.total_tokens == 2 * MAX_TOKENS
        assert parsed.work.prompt_tokens == MAX_TOKENS
        assert parsed.work.shared_prefix.tokens <= MAX_TOKENS
        assert parsed.last_event_id < 2**63

    @pytest.mark.parametrize(
        ("value", "tokens"),
        [
            (b"a:60,b:600,own:9", 660),
            (b" a:60 , b:600 ,own:9", 660),
            (b"session:900", 900),
            (b"a:1," * 63 + b"own:9", 63),
        ],
    )
    def test_shared_prefix_of_a_prompt(self, value, tokens):
        """The prefix excludes the last part, unless it is the only one."""
        parsed = parse_request_headers([*NO_PARTS, (b"Prompt-Prefix", value)])
        assert parsed.work.shared_prefix.tokens == tokens
        assert parsed.prefix_problem == ""

    def test_prefix_hash_ignores_the_last_part(self):
        """Equal prefixes must have equal hashes; different ones must not."""

        def prefix_of(value):
            return parse_request_headers(
                [*NO_PARTS, (b"Prompt-Prefix", value)]
            ).work.shared_prefix

        assert prefix_of(b"a:60,b:600,x:9") == prefix_of(b"a:60,b:600,y:5")
        assert prefix_of(b"a:60,b:600,x:9").key != prefix_of(b"a:60,c:600,x:9").key
        assert prefix_of(b"a:60,b:600,x:9").key != prefix_of(b"b:60,a:600,x:9").key

    @pytest.mark.parametrize(
        "value",
        [
            b"a:60,b,own:9",
            b"a:-60,own:9",
            b":60,own:9",
            b"a:x,own:9",
            b",,",
            b"a:1," * 10_000 + b"own:9",
            bytes(range(128, 256)) + b",own:9",
        ],
    )
    def test_malformed_prompt_prefix_is_reported_and_ignored(self, value):
        """A malformed prompt prefix must not fail the request."""
        parsed = parse_request_headers([*NO_PARTS, (b"Prompt-Prefix", value)])
        assert parsed.work == Work(1460, 80)
        assert parsed.prefix_problem

    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"a:60,b:600,own:9", (b"a", b"b")),
            (b" A:60 , b:600 ,own:9", (b"a", b"b")),
            (b"session:900", ()),
            (b"", ()),
            (b"a:60,b:many,,a:60,own:9", (b"a", b"b")),
        ],
    )
    def test_prompt_parts_exclude_the_last(self, value, parts):
        """A part must be recognized however its caller writes the header."""
        parsed = parse_request_headers([*NO_PARTS, (b"Prompt-Prefix", value)])
        assert parsed.prompt_parts == parts

    def test_request_without_prompt_prefix(self):
        """Without the header there is neither a shared prefix nor a problem."""
        parsed = parse_request_headers(NO_PARTS)
        assert parsed.work == Work(1460, 80)
        assert parsed.prefix_problem == ""

    @pytest.mark.parametrize(
        "header",
        [
            (b"Attempt-Id", b"a2"),
            (b"Token-Count", b"x,1"),
            (b"Token-Count", b"-5,1"),
            (b"Deadline-Ms", b"nan"),
            (b"Deadline-Ms", b"-1"),
            (b"Deadline-Ms", b"1_0"),
            (b"Deadline-Ms", b"9" * 400),
        ],
    )
    def test_malformed_headers(self, header):
        """Ambiguous or malformed headers must be rejected, not guessed."""
        assert isinstance(parse_request_headers([*CALL, header]), InvalidHeaders)

    def test_conflicting_api_keys_are_ignored(self):
        """With two different keys, neither may be used."""
        assert parse_request_headers([*CALL, (b"x-api-key", b"k2")]).api_key is None

    def test_reserved_headers_of_callers_are_dropped(self):
        """Forged headers and the API key must not reach a target."""
        forged = [
            (name, b"forged")
            for name in (
                b"Tenant",
                b"Hold",
                b"Pin-Ms",
                b"Kv-Backup",
                b"KV-FROM",
                b"Kv-Fetch",
                b"Expect-Instance",
            )
        ]
        sent = headers_for_target(
            [*CALL, *forged], target_id="i-1", account="t1", remaining_s=0.25
        )
        values = {name.lower(): value for name, value in sent}
        assert b"forged" not in values.values()
        assert b"x-api-key" not in values
        assert (values[b"tenant"], values[b"expect-instance"]) == (b"t1", b"i-1")
        assert values[b"deadline-ms"] == b"250"
        assert values[b"attempt-id"] == b"a1"

    def test_resuming_replaces_the_last_event_id(self):
        """A stream must resume after the last forwarded event."""
        resumed = headers_to_resume([(b"last-event-id", b"3")], 12)
        assert resumed == [(b"Last-Event-Id", b"12")]

    @pytest.mark.parametrize(
        ("status", "headers", "not_run"),
        [
            (503, [(b"Not-Executed", b"1")], True),
            (421, [], True),
            (503, [], False),
            (500, [], False),
        ],
    )
    def test_only_a_declaration_counts_as_not_executed(self, status, headers, not_run):
        """Any other error may follow an execution, so it must not allow a repeat."""
        assert is_not_executed(status, headers) is not_run

    def test_refusal_has_fractional_retry_after(self):
        """Delays below a second must not be rounded."""
        assert (b"Retry-After", b"0.250") in refusal_headers(b"a1", 0.25)
