"""Rollout orders and statuses in the metadata store."""

from json import dumps, loads

import pytest

from berylwalk.platform import (
    KeyValue,
    decode_rollout_order,
    encode_rollout_status,
    is_rollout_status,
)
from berylwalk.rollout import Order, OrderProblem, Phase, UnusableOrder


def decoded(value, key=b"op/rollout/s"):
    """Decode a rollout order from bytes or JSON."""
    encoded = value if isinstance(value, bytes) else dumps(value).encode()
    return decode_rollout_order(KeyValue(key, encoded, 7))


def order(**changes):
    """Return a valid order with changed fields; None removes a field."""
    value = {"service": "s", "target": "v2", "period-s": 12, **changes}
    return {key: each for key, each in value.items() if each is not None}


class TestOrders:
    """Decoding of rollout orders."""

    def test_valid_order(self):
        """Unknown fields must be ignored."""
        assert decoded(order(more=1)) == Order(
            service="s", version="v2", period_s=12, revision=7
        )

    @pytest.mark.parametrize(
        ("value", "problem", "place"),
        [
            (b"\xff", OrderProblem.NOT_READABLE, ""),
            (b"[]", OrderProblem.WRONG_FIELD, "array"),
            (order(**{"period-s": None}), OrderProblem.WRONG_FIELD, "period-s"),
            (order(target=2), OrderProblem.WRONG_FIELD, "target"),
            (order(**{"period-s": 0}), OrderProblem.OUT_OF_RANGE, "period-s"),
            (order(**{"period-s": 86_400}), OrderProblem.OUT_OF_RANGE, "period-s"),
            (order(**{"period-s": -3}), OrderProblem.OUT_OF_RANGE, "period-s"),
            (order(service="other"), OrderProblem.OUT_OF_RANGE, "service"),
            (order(target=""), OrderProblem.OUT_OF_RANGE, "target"),
        ],
    )
    def test_invalid_order_names_the_field(self, value, problem, place):
        """An invalid order must be rejected, not guessed."""
        found = decoded(value)
        assert isinstance(found, UnusableOrder)
        assert found.problem is problem
        assert place in found.detail


class TestStatuses:
    """Encoding of rollout statuses."""

    @pytest.mark.parametrize(
        ("phase", "state"),
        [
            (Phase.CANARY, "in_service"),
            (Phase.RAMP, "in_service"),
            (Phase.SHIFTING, "in_service"),
            (Phase.COMPLETED, "completed"),
            (Phase.REVERTED, "reverted"),
        ],
    )
    def test_state_and_version(self, phase, state):
        """Each phase has the platform's state name."""
        value = encode_rollout_status(phase, "v2")
        assert loads(value) == {"state": state, "target": "v2"}
        assert is_rollout_status(value, phase, "v2")
        assert not is_rollout_status(value, phase, "v3")

    def test_malformed_status_does_not_match(self):
        """A status that another program wrote must not count as the router's own."""
        assert not is_rollout_status(b"nonsense", Phase.CANARY, "v2")
