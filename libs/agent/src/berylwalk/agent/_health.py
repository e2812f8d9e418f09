"""What the target serves, found out by asking it now and then."""

from collections.abc import Callable

import msgspec
from anyio import sleep

from berylwalk.transport import HttpClient, HttpResponse, RequestFailed, SendState

MODELS_PATH = "/v1/models"
SERVICE_PATH = "/healthz"
POLL_INTERVAL_S = 1.0
STARTUP_POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 2.0
# An answer may be late under load; a refused connection is certain.
MAX_MISSED_POLLS = 3
OK = 200


class _Model(msgspec.Struct):
    id: str


class _Models(msgspec.Struct):
    data: tuple[_Model, ...]


class TargetHealth:
    """Polls the target and reports what it serves.

    Parameters
    ----------
    client : HttpClient
        Connections to the target.
    url : str
        Base URL of the target.
    models, services : tuple of str
        What the settings say that it serves.
    on_change : callable
        Called after `resources` or `reachable` changed.

    Attributes
    ----------
    resources : tuple of str
        ``model:NAME`` and ``service:NAME``.
    reachable : bool
        Whether the target answers.
    """

    def __init__(
        self,
        client: HttpClient,
        url: str,
        *,
        models: tuple[str, ...],
        services: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> None:
        self._client = client
        self._url = url.rstrip("/") + (MODELS_PATH if models else SERVICE_PATH)
        self._models = models
        self._services = services
        self._on_change = on_change
        self._missed_polls = 0
        self.resources = resource_names(models, services)
        self.reachable = False

    async def run(self) -> None:
        """Poll until cancelled; more often until the target first answers."""
        while True:
            await self.poll()
            await sleep(POLL_INTERVAL_S if self.reachable else STARTUP_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Ask the target once."""
        answer = await self._client.request(
            "GET", self._url, read_timeout_s=POLL_TIMEOUT_S
        )
        if isinstance(answer, RequestFailed):
            self._note_failure(answer)
        else:
            self._note_answer(answer)

    def mark_unreachable(self) -> None:
        """Note that the target refused a connection."""
        self._update(self.resources, reachable=False)

    def _note_failure(self, failure: RequestFailed) -> None:
        self._missed_polls += 1
        if (
            failure.state is SendState.NOT_SENT
            or self._missed_polls >= MAX_MISSED_POLLS
        ):
            self._update(self.resources, reachable=False)

    def _note_answer(self, answer: HttpResponse) -> None:
        self._missed_polls = 0
        models = self._models
        if models and answer.status == OK:
            models = _model_names(answer.body) or models
        self._update(resource_names(models, self._services), reachable=True)

    def _update(self, resources: tuple[str, ...], *, reachable: bool) -> None:
        if (resources, reachable) == (self.resources, self.reachable):
            return
        self.resources = resources
        self.reachable = reachable
        self._on_change()


def _model_names(body: bytes) -> tuple[str, ...]:
    try:
        models = msgspec.json.decode(body, type=_Models)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ()
    return tuple(model.id for model in models.data)


def resource_names(
    models: tuple[str, ...], services: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the resources that models and services stand for."""
    named_models = (f"model:{name}" for name in models)
    named_services = (f"service:{name}" for name in services)
    return (*named_models, *named_services)
