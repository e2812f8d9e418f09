"""Models that a client account may use, in the format of the OpenAI API."""

import msgspec

from berylwalk.caller._accounts import may_use_model, model_problem
from berylwalk.caller._errors import ErrorResponse, rejected
from berylwalk.model import ServicePolicy

_PREFIX = "model:"


class Model(msgspec.Struct, kw_only=True):
    """One model."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "berylwalk"


class ModelList(msgspec.Struct):
    """All models."""

    data: list[Model]
    object: str = "list"


def list_models(service_policy: ServicePolicy, known: frozenset[str]) -> ModelList:
    """Return the models that an account may use, sorted by name."""
    names = sorted(
        resource.removeprefix(_PREFIX)
        for resource in known
        if resource.startswith(_PREFIX)
    )
    return ModelList(
        [Model(id=name) for name in names if may_use_model(service_policy, name)]
    )


def get_model(
    service_policy: ServicePolicy, name: str, known: frozenset[str]
) -> Model | ErrorResponse:
    """Return one model, or the error when the account cannot use it."""
    problem = model_problem(service_policy, name, known, "path")
    if problem is not None:
        return rejected([problem])
    return Model(id=name)
