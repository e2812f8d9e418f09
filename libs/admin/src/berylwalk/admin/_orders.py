"""Orders to targets: request body and service protocol."""

from typing import Annotated, Protocol

from pydantic import BaseModel, ConfigDict, Field

from berylwalk.orders import Order, OrderKind, OrderResult

_Name = Annotated[str, Field(min_length=1, max_length=128)]
_Source = Annotated[str, Field(max_length=512)]


class OrderBody(BaseModel):
    """An order to one target.

    Parameters
    ----------
    target : str
        Name of the target's agent.
    kind : OrderKind
        Kind of the order.
    name : str
        Name of the model, adapter or role.
    source : str
        Location that a model or adapter is loaded from, including its version.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    target: _Name
    kind: OrderKind
    name: _Name
    source: _Source = ""

    def to_order(self) -> Order:
        """Return the order; the order service sets its fencing token."""
        return Order(self.target, self.kind, self.name, self.source)


class OrderService(Protocol):
    """Sends orders to targets."""

    async def send(self, order: Order) -> OrderResult:
        """Send an order and wait for its result."""
