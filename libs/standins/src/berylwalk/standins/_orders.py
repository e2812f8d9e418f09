"""Orders that change the role, models and adapters of an engine."""

from collections.abc import Iterable
from typing import Any

from anyio import sleep
from msgspec import DecodeError, Struct

from berylwalk.standins._serving import Exchange

FENCING_HEADER = "fencing-token"
ORDER_PATHS = frozenset(
    {
        "/admin/role",
        "/admin/models",
        "/v1/load_lora_adapter",
        "/v1/unload_lora_adapter",
    }
)
NO_FENCING_TOKEN = -1


class ReceivedOrder(Struct):
    """Log entry of a received order.

    Parameters
    ----------
    path : str
        Path of the request.
    token : int
        Fencing token, or -1 if there was none.
    accepted : bool
        Whether the fencing token was accepted.
    """

    path: str
    token: int
    accepted: bool


class Orders:
    """Handler of orders; holds the role, models and adapters of an engine.

    Parameters
    ----------
    models : iterable of str
        Models that are served from the start; the first is the base model of adapters.
    check_fencing : bool
        Whether to reject orders without a fencing token, or with an outdated one.
    duration_s : float
        Duration of an order, in seconds.
    """

    def __init__(
        self, models: Iterable[str], *, check_fencing: bool, duration_s: float = 0.0
    ) -> None:
        self.role = "both"
        self.highest_token = NO_FENCING_TOKEN
        self.received: list[ReceivedOrder] = []
        self._models = list(models)
        self._adapters: list[str] = []
        self._check_fencing = check_fencing
        self._duration_s = duration_s

    @property
    def base_model(self) -> str:
        """Name of the first model."""
        return self._models[0]

    def serves(self, model: str) -> bool:
        """Return whether a model or an adapter of this name is served."""
        return model in self._models or model in self._adapters

    def models(self) -> dict[str, Any]:
        """Return the models and adapters in the format of the API."""
        listed = [{"id": name, "object": "model"} for name in self._models]
        for name in self._adapters:
            listed.append({"id": name, "object": "model", "parent": self.base_model})
        return {"object": "list", "data": listed}

    async def handle(self, exchange: Exchange) -> None:
        """Execute or reject an order."""
        if exchange.path == "/admin/role" and exchange.method == "GET":
            await exchange.respond_json(200, {"role": self.role})
            return
        if exchange.path not in ORDER_PATHS:
            await exchange.respond_json(404, {"error": {"message": "unknown path"}})
            return
        try:
            token = int(exchange.headers.get(FENCING_HEADER, NO_FENCING_TOKEN))
            body = await exchange.json()
        except (DecodeError, ValueError) as error:
            await exchange.respond_json(400, {"error": {"message": str(error)}})
            return
        accepted = self._accept(token)
        self.received.append(ReceivedOrder(exchange.path, token, accepted))
        if not accepted:
            message = f"fencing token {token} is older than {self.highest_token}"
            await exchange.respond_json(409, {"error": {"message": message}})
            return
        await sleep(self._duration_s)
        status = self._execute(exchange.path, body)
        await exchange.respond_json(status, {"role": self.role})

    def _accept(self, token: int) -> bool:
        if self._check_fencing and (token < 0 or token < self.highest_token):
            return False
        self.highest_token = max(self.highest_token, token)
        return True

    def _execute(self, path: str, body: dict[str, Any]) -> int:
        if path == "/admin/role":
            self.role = str(body.get("role", self.role))
            return 200
        if path == "/admin/models":
            return self._load_model(str(body.get("model", "")))
        name = str(body.get("lora_name", ""))
        if path == "/v1/load_lora_adapter":
            if not name or self.serves(name):
                return 400
            self._adapters.append(name)
            return 200
        if name not in self._adapters:
            return 404
        self._adapters.remove(name)
        return 200

    def _load_model(self, name: str) -> int:
        if not name or self.serves(name):
            return 400
        self._models.append(name)
        return 200
