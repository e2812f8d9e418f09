"""Health checks: polls the target for its resources and reachability."""

from collections.abc import Callable

import msgspec
from anyio import sleep

from berylwalk.agent._target_probe import TargetProbe
from berylwalk.transport import HttpResponse, RequestFailed, SendState

MODELS_PATH = "/v1/models"
SERVICE_PATH = "/healthz"
POLL_INTERVAL_S = 1.0
STARTUP_POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 2.0
# A loaded target may respond late; a refused connection counts at once.
MAX_MISSED_POLLS = 3
OK = 200


class _Model(msgspec.Struct):
    id: str


class _Models(msgspec.Struct):
    data: tuple[_Model, ...]


class TargetHealth:
    """Polls the target for its resources and reachability.

    Parameters
    ----------
    probe : TargetProbe
        Health requests to the target.
    models, services : tuple of str
        Models and services of the target according to the settings.
    on_change : callable
        Called after `resources` or `reachable` changed.

    Attributes
    ----------
    resources : tuple of str
        ``model:NAME`` and ``service:NAME``.
    reachable : bool
        Whether the target responds.
    """

    def __init__(
        self,
        probe: TargetProbe,
        *,
        models: tuple[str, ...],
        services: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> None:
        self._probe = probe
        self._models = models
        self._services = services
        self._on_change = on_change
        self._missed_polls = 0
        self.resources = resource_names(models, services)
        self.reachable = False

    async def run(self) -> None:
        """Poll until cancelled, more often while the target is unreachable."""
        while True:
            await self.poll()
            await sleep(POLL_INTERVAL_S if self.reachable else STARTUP_POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Poll the target once."""
        response = await self._probe.request(POLL_TIMEOUT_S)
        if isinstance(response, RequestFailed):
            self._handle_failure(response)
        else:
            self._handle_response(response)

    def mark_unreachable(self) -> None:
        """Mark the target unreachable, after it refused a connection."""
        self._update(self.resources, reachable=False)

    def _handle_failure(self, failure: RequestFailed) -> None:
        self._missed_polls += 1
        if (
            failure.state is SendState.NOT_SENT
            or self._missed_polls >= MAX_MISSED_POLLS
        ):
            self._update(self.resources, reachable=False)

    def _handle_response(self, response: HttpResponse) -> None:
        self._missed_polls = 0
        models = self._models
        if models and response.status == OK:
            models = _model_names(response.body) or models
        self._update(resource_names(models, self._services), reachable=True)

    def _update(self, resources: tuple[str, ...], *, reachable: bool) -> None:
        if (resources, reachable) == (self.resources, self.reachable):
            return
        self.resources = resources
        self.reachable = reachable
        self._on_change()


def health_url(url: str, *, has_models: bool) -> str:
    """Return the URL of the health check of a target.

    Parameters
    ----------
    url : str
        Base URL of the target.
    has_models : bool
        Whether it serves models.
    """
    return url.rstrip("/") + (MODELS_PATH if has_models else SERVICE_PATH)


def _model_names(body: bytes) -> tuple[str, ...]:
    try:
        models = msgspec.json.decode(body, type=_Models)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return ()
    return tuple(model.id for model in models.data)


def resource_names(
    models: tuple[str, ...], services: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the resource names of models and services."""
    named_models = (f"model:{name}" for name in models)
    named_services = (f"service:{name}" for name in services)
    return (*named_models, *named_services)
