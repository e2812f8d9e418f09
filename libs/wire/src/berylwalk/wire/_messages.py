"""Control messages between routers and agents.

Datagrams may be lost, duplicated or reordered, so every handler is idempotent.
"""

import msgspec

from berylwalk.model import RefusalReason, RequestId


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all control messages."""


class Hello(Message, frozen=True):
    """Router to agent: heartbeat, answered with a `Digest`.

    Parameters
    ----------
    leaving : bool
        Whether the router is draining.
    digest_ms : int
        Minimum interval between unsolicited digests of the agent, in milliseconds; 0
        disables them.
    """

    leaving: bool = False
    digest_ms: int = 50


class Digest(Message, frozen=True):
    """Agent to router: current state and load.

    Parameters
    ----------
    sequence : int
        Increases within the incarnation; older digests are dropped.
    resources : tuple of str
        Resources that the target serves: ``model:NAME`` and ``service:NAME``.
    failure_domain : str
        Failure domain of the target.
    leaving : bool
        Whether the agent is draining.
    slow : bool
        Whether the target is slower than its own baseline.
    running, ready, limit : int
        Dispatched requests, slots reserved for grants, and the limit on their sum.
    waiting_by_rank : tuple of int
        Number of waiting reservations per tier rank.
    wait_ms_by_rank : tuple of int
        Estimated wait of a new reservation per tier rank.
    prefill_tokens_per_s, token_gap_ms : float
        Measured speed of the target.
    target_reachable : bool
        Whether the target responds and the agent has valid settings.
    """

    sequence: int
    resources: tuple[str, ...]
    failure_domain: str
    leaving: bool
    slow: bool
    running: int
    ready: int
    limit: int
    waiting_by_rank: tuple[int, ...]
    wait_ms_by_rank: tuple[int, ...]
    prefill_tokens_per_s: float
    token_gap_ms: float
    target_reachable: bool = True


class Reserve(Message, frozen=True):
    """Router to agent: request for a place in the admission queue.

    Resent until it is answered with `Queued`, `Ready` or `Refused`.

    Parameters
    ----------
    request_id : RequestId
        Identifier of the request.
    attempt : int
        Sequence number of the reservation of this request.
    resource : str
        Resource that the target must serve.
    client_account : str
        Account of the request.
    tier_rank : int
        Rank of the tier; 0 is the highest.
    weight : float
        Fair-share weight of the account.
    prompt_tokens, output_tokens : int
        Expected size of the request.
    deadline_ms : int
        Time left until the deadline when the message is sent, in milliseconds.
    """

    request_id: RequestId
    attempt: int
    resource: str
    client_account: str
    tier_rank: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    deadline_ms: int


class Queued(Message, frozen=True):
    """Agent to router: the reservation is queued.

    Parameters
    ----------
    request_id, attempt
        As in `Reserve`.
    wait_ms : int
        Estimated wait until the grant, in milliseconds.
    """

    request_id: RequestId
    attempt: int
    wait_ms: int


class Ready(Message, frozen=True):
    """Agent to router: a slot is reserved for the grant.

    Resent until the grant or `Withdraw` arrives, or the slot offer expires.
    """

    request_id: RequestId
    attempt: int


class Refused(Message, frozen=True):
    """Agent to router: the attempt did not run and never will.

    Parameters
    ----------
    request_id, attempt
        As in `Reserve`.
    reason : RefusalReason
        Reason of the refusal.
    retry_after_ms : int
        Delay after which a new attempt may succeed, in milliseconds; 0 if unknown.
    """

    request_id: RequestId
    attempt: int
    reason: RefusalReason
    retry_after_ms: int = 0


class Withdraw(Message, frozen=True):
    """Router to agent: cancel the reservation; also the response to a late `Ready`."""

    request_id: RequestId
    attempt: int


class Revoke(Message, frozen=True):
    """Router to agent: do not run the attempt if it has not run yet.

    Resent until it is answered with `RevokeResult`.
    """

    request_id: RequestId
    attempt: int


class RevokeResult(Message, frozen=True):
    """Agent to router: whether the attempt was dispatched by this incarnation.

    ``ran=False`` is final: the agent keeps a tombstone, and the attempt never runs.
    """

    request_id: RequestId
    attempt: int
    ran: bool


ControlMessage = (
    Hello
    | Digest
    | Reserve
    | Queued
    | Ready
    | Refused
    | Withdraw
    | Revoke
    | RevokeResult
)


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Contents of one datagram.

    Parameters
    ----------
    sender : str
        Node identifier.
    incarnation : int
        Incarnation of the sender.
    settings_version : int
        Version of the settings in effect at the sender.
    messages : tuple of ControlMessage
        Messages, processed in this order.
    """

    sender: str
    incarnation: int
    settings_version: int
    messages: tuple[ControlMessage, ...]
