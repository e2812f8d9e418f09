"""Orders that change what an engine serves."""

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
NO_TOKEN = -1


class ReceivedOrder(Struct):
    """One order, as it was received.

    Parameters
    ----------
    path : str
        What was ordered.
    token : int
        Its fencing token, or -1 if it carried none.
    accepted : bool
        Whether it was carried out.
    """

    path: str
    token: int
    accepted: bool


class Orders:
    """Takes orders and knows the models, adapters and role.

    Parameters
    ----------
    models : iterable of str
        Models that are always served; the first is the base of adapters.
    check_fencing : bool
        Refuse orders without a fencing token or with an old one.
    load_s : float
        Time that an order takes, in seconds.
    """

    def __init__(
        self, models: Iterable[str], *, check_fencing: bool, load_s: float = 0.0
    ) -> None:
        self.role = "both"
        self.highest_token = NO_TOKEN
        self.received: list[ReceivedOrder] = []
        self._models = list(models)
        self._adapters: list[str] = []
        self._check_fencing = check_fencing
        self._load_s = load_s

    @property
    def base_model(self) -> str:
        """Name of the first model."""
        return self._models[0]

    def serves(self, model: str) -> bool:
        """Return whether a model or an adapter of this name is served."""
        return model in self._models or model in self._adapters

    def models(self) -> dict[str, Any]:
        """Return the list of models and adapters as the API shows it."""
        listed = [{"id": name, "object": "model"} for name in self._models]
        for name in self._adapters:
            listed.append({"id": name, "object": "model", "parent": self.base_model})
        return {"object": "list", "data": listed}

    async def handle(self, exchange: Exchange) -> None:
        """Carry an order out, or refuse it."""
        if exchange.path == "/admin/role" and exchange.method == "GET":
            await exchange.respond_json(200, {"role": self.role})
            return
        if exchange.path not in ORDER_PATHS:
            await exchange.respond_json(404, {"error": {"message": "no such path"}})
            return
        try:
            token = int(exchange.headers.get(FENCING_HEADER, NO_TOKEN))
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
        await sleep(self._load_s)
        status = self._carry_out(exchange.path, body)
        await exchange.respond_json(status, {"role": self.role})

    def _accept(self, token: int) -> bool:
        if self._check_fencing and (token < 0 or token < self.highest_token):
            return False
        self.highest_token = max(self.highest_token, token)
        return True

    def _carry_out(self, path: str, body: dict[str, Any]) -> int:
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
