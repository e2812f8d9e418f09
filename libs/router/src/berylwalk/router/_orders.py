"""Sends orders to agents over HTTP."""

from collections.abc import Callable

from berylwalk.orders import (
    Order,
    OrderOutcome,
    OrderResult,
    decode_result,
    seal_order,
)
from berylwalk.transport import HttpClient, RequestFailed, SendState
from berylwalk.wire import FleetKey

ORDER_TIMEOUT_S = 600.0
"""Allows for the loading of a large model."""


class OrderTransmitter:
    """Transmits orders to agents.

    Parameters
    ----------
    client : HttpClient
        Connections to agents.
    key : FleetKey
        Seals orders.
    url_of : callable
        Returns the URL for orders to an agent, or None if its address is unknown.
    """

    def __init__(
        self,
        client: HttpClient,
        key: FleetKey,
        *,
        url_of: Callable[[str], str | None],
    ) -> None:
        self._client = client
        self._key = key
        self._url_of = url_of

    async def transmit(self, order: Order) -> OrderResult:
        """Send an order to its agent and return the result."""
        url = self._url_of(order.target)
        if url is None:
            return OrderResult(
                OrderOutcome.REFUSED, f"{order.target} has no known address"
            )
        response = await self._client.request(
            "POST",
            url,
            body=seal_order(order, self._key),
            read_timeout_s=ORDER_TIMEOUT_S,
        )
        if isinstance(response, RequestFailed):
            return _failed(response)
        if response.status != 200:
            detail = f"the agent responded with status {response.status}"
            return OrderResult(OrderOutcome.REFUSED, detail)
        return decode_result(response.body)


def _failed(failure: RequestFailed) -> OrderResult:
    if failure.state is SendState.NOT_SENT:
        return OrderResult(OrderOutcome.REFUSED, "the agent refused the connection")
    return OrderResult(OrderOutcome.UNKNOWN, failure.reason)
