"""Authorization by the current configuration."""

import pytest

from berylwalk.dispatch import (
    Account,
    Allowed,
    CallerLimits,
    Configuration,
    ConfigurationState,
    DenialReason,
    Denied,
    Route,
    RouteKind,
    ServiceShare,
)

HOST = "signs.example"


def route(name, prefix, **changes):
    """Return a route to a service of the same name."""
    values = {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "objective_s": 0.2,
        "priority": 2,
        "shares": (ServiceShare(name, 1.0),),
    }
    return Route(**{**values, **changes})


def configuration(version, *routes, keys=("k1",), priority=None):
    """Return a configuration with one account."""
    account = Account(name="a", keys=frozenset(keys), priority=priority)
    return Configuration.from_parts(
        version=version,
        routes=routes or [route("r", "/r/")],
        services=[],
        accounts=[account],
        limits=CallerLimits(),
    )


def state_with(current, *, at=0.0):
    """Return a state confirmed by a read at the given time."""
    state = ConfigurationState(key_trust_s=4.5)
    state.confirm(current, at)
    return state


class TestRoutes:
    """Route look-up."""

    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("/r/x", "short"),
            ("/r/s/x", "long"),
            ("/r/s/", "long"),
            ("/r/s", "short"),
            ("/r/s/x?y=/r/", "long"),
            ("/rr/x", None),
            ("/r", None),
        ],
    )
    def test_longest_matching_prefix_wins(self, path, expected):
        """Prefixes end with a slash; the query string is ignored."""
        known = configuration(1, route("short", "/r/"), route("long", "/r/s/"))
        found = known.route_for(f"{HOST.upper()}:8080", path)
        assert (None if found is None else found.name) == expected

    def test_split_by_weight(self):
        """Requests are split among services in proportion to the weights."""
        split = route(
            "r", "/r/", shares=(ServiceShare("old", 90), ServiceShare("new", 10))
        )
        draws = [split.service_for(number / 100) for number in range(100)]
        assert draws.count("new") == 10


class TestVersions:
    """Versions never decrease within a process."""

    def test_older_version_is_ignored(self):
        """A late read changes nothing and confirms nothing."""
        state = state_with(configuration(7), at=1.0)
        assert state.confirm(configuration(5), 3.0) is False
        assert state.current.version == 7
        assert state.confirmed_at == 1.0

    def test_unchanged_version_extends_trust(self):
        """A read without a new version confirms the current one."""
        state = state_with(configuration(7), at=1.0)
        state.confirm(None, 2.0)
        assert state.confirmed_at == 2.0


class TestKeys:
    """Keys are refused if their validity is unknown."""

    def test_missing_configuration_is_retryable(self):
        """A router without configuration answers 503."""
        denied = ConfigurationState(key_trust_s=4.5).check(HOST, "/r/", "k1", 0.0)
        assert denied == Denied(DenialReason.NO_CONFIGURATION)
        assert denied.status == 503

    @pytest.mark.parametrize(("now", "status"), [(4.4, None), (4.6, 503)])
    def test_keys_expire_without_confirmation(self, now, status):
        """A key may have been revoked since the last confirming read."""
        result = state_with(configuration(1), at=0.0).check(HOST, "/r/", "k1", now)
        assert getattr(result, "status", None) == status

    def test_public_route_ignores_staleness(self):
        """A route without keys is served whatever the age of the configuration."""
        state = state_with(configuration(1, route("r", "/r/", public=True)))
        assert isinstance(state.check(HOST, "/r/", None, 1000.0), Allowed)

    def test_unknown_route_is_retryable_while_stale(self):
        """The route may have been added since, so the status is 503 rather than 404."""
        state = state_with(configuration(1))
        assert state.check(HOST, "/x/", "k1", 10.0).status == 503
        assert state.check(HOST, "/x/", "k1", 1.0).status == 404

    @pytest.mark.parametrize("key", [None, "", "k2"])
    def test_unknown_key(self, key):
        """Missing and revoked keys are refused with 401."""
        denied = state_with(configuration(1)).check(HOST, "/r/", key, 1.0)
        assert denied == Denied(DenialReason.UNKNOWN_KEY)
        assert denied.status == 401


class TestRank:
    """Ranks of accounts and routes."""

    def test_account_priority_precedes_route_priority(self):
        """The route's priority orders requests of accounts with the same priority."""
        urgent = route("u", "/u/", priority=0)
        plain = route("p", "/p/", priority=2)
        state = state_with(configuration(1, urgent, plain, priority=1))
        ranks = [state.check(HOST, path, "k1", 0.0).rank for path in ("/u/", "/p/")]
        assert ranks == [(1, 0), (1, 2)]
