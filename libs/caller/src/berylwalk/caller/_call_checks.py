"""Validation of calls against the settings of the account and the limits."""

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
    """Return the reasons why an account may not make a model call.

    Parameters
    ----------
    model_call : ModelCall
        The call, as parsed from the body.
    service_policy : ServicePolicy
        Settings of the account.
    known : frozenset of str
        Known resources; empty when none is known yet.
    limits : CallerLimits
        Limit on the number of outputs.
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
    requested_tokens = (model_call.max_tokens or 0) * model_call.choices
    if requested_tokens > service_policy.max_output_tokens:
        allowed_tokens = service_policy.max_output_tokens
        text = (
            f"asks for {requested_tokens} output tokens in all; "
            f"the account may use {allowed_tokens}"
        )
        problems.append(bad_request(model_call.max_tokens_place, text))
    return problems


def size_problems(call: TargetCall, limits: CallerLimits) -> list[Problem]:
    """Return a problem if a call's path and headers are too large to forward."""
    # They are sent to the agent in one header, together with the grant.
    size = len(call.path) + sum(len(name) + len(text) for name, text in call.headers)
    if size <= limits.max_forwarded_header_bytes:
        return []
    text = (
        f"have {size} bytes; at most {limits.max_forwarded_header_bytes} are forwarded"
    )
    return [bad_request("path and headers", text)]


def bad_request(place: str, problem: str) -> Problem:
    """Return a problem with status 400."""
    return Problem(BAD_REQUEST, Finding(place, problem))
