"""Checks of a call against the settings of its account and the limits."""

from berylwalk.caller._accounts import model_problem
from berylwalk.caller._bodies import ModelCall
from berylwalk.caller._errors import BAD_REQUEST, Problem
from berylwalk.caller._limits import CallerLimits
from berylwalk.model import Finding, ServicePolicy, TargetCall


def model_call_problems(
    model_call: ModelCall,
    service_policy: ServicePolicy,
    known: frozenset[str],
    limits: CallerLimits,
) -> list[Problem]:
    """Return what keeps an account from making a model call.

    Parameters
    ----------
    model_call : ModelCall
        What the body asks for.
    service_policy : ServicePolicy
        Settings of the account.
    known : frozenset of str
        Known resources; empty when none is known yet.
    limits : CallerLimits
        Largest number of outputs.
    """
    problems = []
    unusable = model_problem(service_policy, model_call.model, known, "/model")
    if unusable is not None:
        problems.append(unusable)
    if model_call.choices > limits.max_choices:
        text = (
            f"asks for {model_call.choices} outputs; {limits.max_choices} are allowed"
        )
        problems.append(bad_request("/n", text))
    asked = (model_call.max_tokens or 0) * model_call.choices
    if asked > service_policy.max_output_tokens:
        most = service_policy.max_output_tokens
        text = f"asks for {asked} output tokens in all; the account may use {most}"
        problems.append(bad_request(model_call.limit_place, text))
    return problems


def size_problems(call: TargetCall, limits: CallerLimits) -> list[Problem]:
    """Return whether a call's path and headers are too large for the grant."""
    # They travel to the agent in one header, together with the grant.
    size = len(call.path) + sum(len(name) + len(text) for name, text in call.headers)
    if size <= limits.max_passed_on_bytes:
        return []
    text = f"hold {size} bytes; {limits.max_passed_on_bytes} are passed on"
    return [bad_request("path and headers", text)]


def bad_request(place: str, problem: str) -> Problem:
    """Return a mistake that is answered with status 400."""
    return Problem(BAD_REQUEST, Finding(place, problem))
