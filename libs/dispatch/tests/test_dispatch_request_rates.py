"""Rates of requests, and the parts of a limit that follow them."""

import pytest

from berylwalk.dispatch import Peer, PeerTable, RequestRates
from berylwalk.dispatch._peer_table import MIN_WEIGHT
from berylwalk.dispatch._request_rates import AVERAGING_S, MIN_CHANGE, TOLD_INTERVAL_S

NAMES = tuple(f"r{number}" for number in range(12))
NOW = 100.0


def tables(rates_by_name):
    """Return peer tables that know the same rates for a service, by name."""
    by_name = {}
    for name in NAMES:
        table = by_name[name] = PeerTable(name, "fd")
        table.replace([Peer(each, each, 1, "1", "fd") for each in NAMES], NOW)
        for peer in table.by_name.values():
            peer.last_heard_at = NOW
        for other, rate in rates_by_name.items():
            table.record_rates(other, {"s": rate})
    return by_name


def shares(rates_by_name, senders):
    """Return the shares of one target's limit by router."""
    return {
        name: table.rate_share("life", senders, NOW, "s")
        for name, table in tables(rates_by_name).items()
    }


class TestRequestRates:
    """Average rates of one router."""

    def test_average_follows_the_requests(self):
        """After a few time constants it must be close to the rate."""
        rates = RequestRates()
        for number in range(200):
            rates.record_request("s", number / 40)
        told = rates.told(200 / 40)
        assert told["s"] == pytest.approx(40.0, rel=MIN_CHANGE)
        assert rates.told(5.0 + 20 * AVERAGING_S) == {}

    def test_told_rates_stay_the_same_for_a_while(self):
        """All routers must know the value by which this one takes its part."""
        rates = RequestRates()
        rates.record_request("s", 0.0)
        told = rates.told(0.0)
        for _ in range(3):
            rates.record_request("s", 0.1)
        assert rates.told(0.9 * TOLD_INTERVAL_S) is told
        renewed = rates.told(TOLD_INTERVAL_S)
        assert renewed["s"] > told["s"]

    def test_small_changes_are_not_told(self):
        """Each change makes all routers work out their parts anew."""
        rates = RequestRates()
        for number in range(400):
            rates.record_request("s", number / 40)
        told = rates.told(10.0)
        rates.record_request("s", 10.1)
        assert rates.told(10.1 + TOLD_INTERVAL_S / 4) is told


class TestSharesByRate:
    """Parts of a limit follow the requests."""

    @pytest.mark.parametrize("senders", [2, 5, 12, 40])
    def test_shares_sum_to_one(self, senders):
        """Whatever the rates are, as long as all routers know the same ones."""
        rates = {name: float(number**2) for number, name in enumerate(NAMES)}
        assert sum(shares(rates, senders).values()) == pytest.approx(1.0)

    def test_router_with_all_requests_gets_most(self):
        """The others keep a little, for the first requests that they get."""
        found = shares({"r3": 80.0}, len(NAMES))
        assert found["r3"] > 1 / (1 + MIN_WEIGHT) - 0.01
        assert min(found.values()) > 0

    def test_router_with_all_requests_sends_to_targets_with_few_senders(self):
        """It must be one of the few for nearly all targets."""
        table = tables({"r3": 80.0})["r3"]
        parts = [table.rate_share(f"life-{n}", 2, NOW, "s") for n in range(50)]
        assert sum(part > 0.5 for part in parts) >= 45

    def test_rates_of_another_service_do_not_count(self):
        """Without rates for the service all parts are equal."""
        table = tables({"r3": 80.0})["r1"]
        share = table.rate_share("life", len(NAMES), NOW, "other")
        assert share == pytest.approx(1 / len(NAMES))
