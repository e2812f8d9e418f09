"""Grant that a router sends once over HTTP, together with the body of the call."""

import msgspec

from berylwalk.model import RequestId


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Permission to dispatch a request exactly once.

    Parameters
    ----------
    request_id : RequestId
        Identifier of the request.
    attempt : int
        Sequence number of the reservation or conditional grant of this request.
    router : str
        Node identifier of the router.
    agent : str
        Node identifier of the agent.
    agent_incarnation : int
        Incarnation of the agent for which the grant is valid.
    conditional : bool
        Whether the grant is refused unless a slot is free on arrival; otherwise it
        responds to a `Ready`.
    resource, client_account, tier_rank, weight, prompt_tokens, output_tokens,
    deadline_ms
        As in `Reserve`.
    idempotent : bool
        Whether the call may be cancelled if the caller disconnects.
    method, path : str
        Request line of the call.
    headers : tuple of (str, str)
        Headers forwarded to the target.
    body_digest : bytes
        Keyed digest that binds the body to the grant.
    traceparent : str
        W3C trace context, or empty.
    """

    request_id: RequestId
    attempt: int
    router: str
    agent: str
    agent_incarnation: int
    conditional: bool
    resource: str
    client_account: str
    tier_rank: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int
    idempotent: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body_digest: bytes = b""
    traceparent: str = ""
