"""Agent state machine with simulated routers and simulated time."""

from berylwalk.agent import (
    IDLE_TICK_S,
    AgentAction,
    AgentConfig,
    AgentMachine,
    DatagramArrived,
    DispatchEnd,
    DispatchEnded,
    GrantArrived,
    SendToRouter,
    StartDispatch,
    TargetChanged,
    TargetProgress,
    Tick,
    TiersChanged,
)
from berylwalk.model import RequestId
from berylwalk.wire import Datagram, Grant, Hello, Ready, Reserve
from slopes.routers import DEADLINE_S, TIERS

AGENT = "agent-0000"
RESOURCE = "model:model-00"
TICK_S = 0.01
SLOTS = 8


class SimulatedAgent:
    """Agent state machine with its clock and simulated routers.

    Parameters
    ----------
    routers : int
        Number of routers that send heartbeats to the agent.
    max_waiting : int
        Maximum length of the admission queue.
    """

    def __init__(self, routers: int = 1, *, max_waiting: int = 10_000) -> None:
        config = AgentConfig(
            agent_id=AGENT,
            incarnation=1,
            resources=(RESOURCE,),
            initial_limit=SLOTS,
            max_limit=SLOTS,
            max_waiting=max_waiting,
        )
        self.machine = AgentMachine.from_config(config)
        self.now = 1000.0
        self.sent = 0
        self.ticks = 0
        self._ticked_at = self.now
        self._serial = 0
        self._routers = tuple(f"router-{i:03}" for i in range(routers))
        self.handle_event(TiersChanged(1, TIERS))
        self.handle_event(TargetChanged((RESOURCE,)))
        self.send_hellos()

    def handle_event(self, event: object) -> list[AgentAction]:
        """Handle an event and count the datagrams that it sends."""
        actions = self.machine.handle(event, self.now)
        self.sent += sum(isinstance(action, SendToRouter) for action in actions)
        return actions

    def send_hellos(self) -> None:
        """Deliver one heartbeat from each router."""
        for router in self._routers:
            self.handle_event(DatagramArrived(Datagram(router, 1, 1, (Hello(),))))

    def advance(self, seconds: float, *, changes: bool = False) -> None:
        """Advance the clock with heartbeats and, if `changes`, load changes."""
        ticks = round(seconds / TICK_S)
        for number in range(ticks):
            self.now += TICK_S
            self._tick_if_due()
            for router in self._routers[number % 100 :: 100]:
                self.handle_event(DatagramArrived(Datagram(router, 1, 1, (Hello(),))))
            if changes:
                self.run_granted(1)

    def _tick_if_due(self) -> None:
        # Like the daemon's tick loop, without rescheduling after events.
        latest = self._ticked_at + IDLE_TICK_S
        if self.now < min(self.machine.next_due(self.now), latest):
            return
        self._ticked_at = self.now
        self.ticks += 1
        self.handle_event(Tick())

    def run_granted(self, count: int, *, chunks: int = 1) -> int:
        """Run requests by conditional grants; return the number dispatched."""
        started = 0
        for _ in range(count):
            grant = self._grant(conditional=True)
            started += self._dispatch(grant, chunks)
            self.now += 0.001
        return started

    def run_reserved(self, count: int) -> int:
        """Run requests with a reservation; return the number dispatched."""
        started = 0
        for _ in range(count):
            reserve = self._reserve()
            actions = self._deliver(reserve)
            if any(_has_ready(action) for action in actions):
                grant = self._grant(conditional=False, reserve=reserve)
                started += self._dispatch(grant, 1)
            self.now += 0.001
        return started

    def occupy_slots(self) -> None:
        """Occupy all slots with granted requests."""
        for _ in range(SLOTS):
            self.handle_event(GrantArrived(self._grant(conditional=True)))

    def queue_requests(self, count: int) -> None:
        """Queue requests by reservations."""
        for _ in range(count):
            self._deliver(self._reserve())

    def _deliver(self, reserve: Reserve) -> list[AgentAction]:
        router, incarnation, _ = reserve.request_id
        datagram = Datagram(router, incarnation, 1, (reserve,))
        return self.handle_event(DatagramArrived(datagram))

    def _dispatch(self, grant: Grant, chunks: int) -> int:
        actions = self.handle_event(GrantArrived(grant))
        if not any(isinstance(action, StartDispatch) for action in actions):
            return 0
        for number in range(chunks):
            self.handle_event(TargetProgress(grant.request_id, number == 0, 1))
        self.handle_event(DispatchEnded(grant.request_id, DispatchEnd.COMPLETE))
        return 1

    def _new_id(self) -> RequestId:
        self._serial += 1
        router = self._routers[self._serial % len(self._routers)]
        return RequestId(router, 1, self._serial)

    def _reserve(self) -> Reserve:
        request_id = self._new_id()
        return Reserve(
            request_id=request_id,
            attempt=1,
            resource=RESOURCE,
            client_account=f"/account-{self._serial % 690}",
            tier_rank=self._serial % len(TIERS),
            weight=1.0,
            prompt_tokens=500,
            output_tokens=300,
            deadline_ms=int(DEADLINE_S * 1000),
        )

    def _grant(self, *, conditional: bool, reserve: Reserve | None = None) -> Grant:
        reserve = reserve or self._reserve()
        return Grant(
            request_id=reserve.request_id,
            attempt=reserve.attempt,
            router=reserve.request_id.router,
            agent=AGENT,
            agent_incarnation=1,
            conditional=conditional,
            resource=RESOURCE,
            client_account=reserve.client_account,
            tier_rank=reserve.tier_rank,
            weight=reserve.weight,
            prompt_tokens=reserve.prompt_tokens,
            output_tokens=reserve.output_tokens,
            deadline_ms=reserve.deadline_ms,
            idempotent=True,
            method="POST",
            path="/v1/chat/completions",
        )


def _has_ready(action: AgentAction) -> bool:
    return isinstance(action, SendToRouter) and any(
        isinstance(message, Ready) for message in action.messages
    )
