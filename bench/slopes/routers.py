"""Router state machine with simulated agents and simulated time."""

from random import Random

from berylwalk.model import (
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.router import (
    AgentsListed,
    DatagramArrived,
    GrantRefused,
    IssueGrant,
    RequestArrived,
    ResponseComplete,
    ResponseStarted,
    RouterAction,
    RouterConfig,
    RouterMachine,
    SendToAgent,
    Tick,
)
from berylwalk.wire import Datagram, Digest, Hello, Queued, Ready, Reserve

TICK_S = 0.01
ROUTER = "router-1"
PATH = "/v1/chat/completions"
TIERS = tuple(TierPolicy(f"tier-{rank}", rank) for rank in range(5))
DEADLINE_S = 600.0
MODELS = 28
DOMAINS = 8
SLOTS = 128


def model_name(index: int, models: int = MODELS) -> str:
    """Return the resource that the agent at `index` serves."""
    return f"model:model-{index % models:02}"


def digest_of(
    index: int, sequence: int, *, running: int = 0, models: int = MODELS
) -> Digest:
    """Return a load digest of typical size."""
    return Digest(
        sequence=sequence,
        resources=(model_name(index, models),),
        failure_domain=f"domain-{index % DOMAINS}",
        leaving=False,
        slow=False,
        running=running,
        ready=0,
        limit=SLOTS,
        waiting_by_rank=(0,) * len(TIERS),
        wait_ms_by_rank=(0,) * len(TIERS),
        prefill_tokens_per_s=10_000.0 + index % 3,
        token_gap_ms=20.0,
    )


class SimulatedRouter:
    """Router state machine with its clock and the responses of its agents.

    Parameters
    ----------
    agents : int
        Number of listed agents.
    subset_size : int
        Subset size of the router configuration.
    full : bool
        Whether the agents have no free slot.
    models : int
        Number of models; each agent serves one.
    """

    def __init__(
        self,
        agents: int,
        *,
        subset_size: int = 16,
        full: bool = False,
        models: int = MODELS,
    ) -> None:
        config = RouterConfig(
            ROUTER, 1, failure_domain="domain-0", subset_size=subset_size
        )
        self.machine = RouterMachine(config, rng=Random(7))
        self.now = 1000.0
        self.hellos = 0
        self._full = full
        self._models = models
        self._sequence = 0
        self._serial = 0
        self._index_by_agent = {f"agent-{i:04}": i for i in range(agents)}
        self.handle_event(AgentsListed(tuple(self._index_by_agent)))

    def handle_event(self, event: object) -> list[RouterAction]:
        """Handle an event; agents reply to the heartbeats that it triggers."""
        actions = self.machine.handle(event, self.now)
        others = []
        for action in actions:
            if isinstance(action, SendToAgent) and isinstance(
                action.messages[0], Hello
            ):
                self.hellos += 1
                self._reply_to_hello(action.agent)
            else:
                others.append(action)
        return others

    def advance(self, seconds: float) -> None:
        """Advance the clock, with periodic ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.handle_event(Tick())

    def request(self, index: int) -> Request:
        """Return a new request for the model of the agent at `index`."""
        self._serial += 1
        service_policy = ServicePolicy(
            f"/account-{self._serial % 690}",
            "",
            TIERS[self._serial % len(TIERS)],
            max_waiting=10**6,
            max_running=10**6,
        )
        return Request(
            request_id=RequestId(ROUTER, 1, self._serial),
            service_policy=service_policy,
            call=TargetCall(
                "POST", "/v1/chat/completions", model_name(index, self._models)
            ),
            estimate=WorkEstimate(prompt_tokens=500, output_tokens=300),
            arrived_at=self.now,
            deadline_at=self.now + DEADLINE_S,
            prefix=(self._serial, self._serial + 1),
        )

    def run_granted(self, count: int) -> int:
        """Run requests that are granted at once; return the number of grants."""
        granted = 0
        for _ in range(count):
            actions = self.handle_event(RequestArrived(self.request(self._serial)))
            grants = [action for action in actions if isinstance(action, IssueGrant)]
            for action in grants:
                self._complete(action)
                granted += 1
        return granted

    def run_reserved(self, count: int) -> int:
        """Run requests that queue at two agents; return the number of grants."""
        granted = 0
        for _ in range(count):
            actions = self.handle_event(RequestArrived(self.request(self._serial)))
            self._queue_reservations(actions)
            self.now += 0.03
            second = self.handle_event(Tick())
            self._queue_reservations(second)
            for agent, reserve in _reserves(actions)[:1]:
                ready = Ready(reserve.request_id, reserve.attempt)
                for action in self.deliver(agent, ready):
                    if isinstance(action, IssueGrant):
                        self._complete(action)
                        granted += 1
        return granted

    def queue_requests(self, count: int) -> None:
        """Queue requests at agents."""
        for _ in range(count):
            self._queue_reservations(
                self.handle_event(RequestArrived(self.request(self._serial)))
            )

    def deliver(self, agent: str, *messages: object) -> list[RouterAction]:
        """Deliver a datagram from an agent."""
        return self.handle_event(DatagramArrived(Datagram(agent, 1, 1, messages)))

    def deliver_digest(self, agent: str) -> None:
        """Deliver an unsolicited load digest from an agent."""
        self._reply_to_hello(agent)

    @property
    def agents(self) -> tuple[str, ...]:
        """Identifiers of the listed agents."""
        return tuple(self._index_by_agent)

    def _reply_to_hello(self, agent: str) -> None:
        self._sequence += 1
        running = SLOTS if self._full else 0
        digest = digest_of(
            self._index_by_agent[agent],
            self._sequence,
            running=running,
            models=self._models,
        )
        self.deliver(agent, digest)

    def _queue_reservations(self, actions: list[RouterAction]) -> None:
        for agent, reserve in _reserves(actions):
            self.deliver(agent, Queued(reserve.request_id, reserve.attempt, 100))
        for action in actions:
            if isinstance(action, IssueGrant):
                self._refuse(action)

    def _refuse(self, action: IssueGrant) -> None:
        grant = action.grant
        refusal = Refusal(RefusalReason.NO_SLOT)
        self._queue_reservations(
            self.handle_event(GrantRefused(grant.request_id, grant.attempt, refusal))
        )

    def _complete(self, action: IssueGrant) -> None:
        grant = action.grant
        self.handle_event(ResponseStarted(grant.request_id, grant.attempt))
        self.handle_event(ResponseComplete(grant.request_id, grant.attempt))


def _reserves(actions: list[RouterAction]) -> list[tuple[str, Reserve]]:
    return [
        (action.agent, message)
        for action in actions
        if isinstance(action, SendToAgent)
        for message in action.messages
        if isinstance(message, Reserve)
    ]
