"""Orders of roll-outs and their statuses, as the store has them."""

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
    """Decode an order."""
    encoded = value if isinstance(value, bytes) else dumps(value).encode()
    return decode_rollout_order(KeyValue(key, encoded, 7))


def order(**changes):
    """Return an order as an operator writes it."""
    value = {"service": "s", "target": "v2", "period-s": 12, **changes}
    return {key: each for key, each in value.items() if each is not None}


class TestOrders:
    """What can be followed, and what is a finding."""

    def test_order(self):
        """A service, a version and a period; fields that aren't known are passed."""
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
    def test_what_is_wrong_is_told_with_its_place(self, value, problem, place):
        """Nothing is guessed."""
        found = decoded(value)
        assert isinstance(found, UnusableOrder)
        assert found.problem is problem
        assert place in found.detail


class TestStatuses:
    """What operators are told."""

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
        """In the platform's words."""
        value = encode_rollout_status(phase, "v2")
        assert loads(value) == {"state": state, "target": "v2"}
        assert is_rollout_status(value, phase, "v2")
        assert not is_rollout_status(value, phase, "v3")

    def test_what_others_wrote_is_not_taken_for_it(self):
        """However it looks."""
        assert not is_rollout_status(b"nonsense", Phase.CANARY, "v2")
