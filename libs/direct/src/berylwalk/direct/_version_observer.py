"""Classifies responses of targets to judge versions during a roll-out.

Response times are compared with the usual times of the service's other targets for the
same kind of request, since prompts and the speeds of targets vary widely.
"""

from collections.abc import Sequence

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import AttemptEnd, FirstEventEstimate, Target, mean_token_s
from berylwalk.rollout import AnswerKind

SLOW_FACTOR = 3.5
"""Multiple of the usual time from which a response is slow."""
SLOW_MARGIN_S = 0.05
"""Time above that multiple from which a response is slow, in seconds."""
FAILED_ENDS = (
    AttemptEnd.FAILED,
    AttemptEnd.BROKEN,
    AttemptEnd.SILENT,
    AttemptEnd.STALLED,
)


class VersionObserver:
    """Observes one attempt at a service that is being rolled out.

    Created when the attempt starts.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    admitted : Admitted
        The request.
    target : Target
        Target of the attempt.
    estimate : FirstEventEstimate
        Estimate of the time to the first event.
    """

    def __init__(
        self,
        context: RouterContext,
        admitted: Admitted,
        target: Target,
        estimate: FirstEventEstimate,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._target = target
        progress = context.rollouts.progress(admitted.service)
        version = progress.order.version
        self._answer_key = context.rollouts.answer_key(
            admitted.service,
            target.entry.version,
            target.entry.incarnation_id,
            admitted.route.name,
            context.clock(),
        )
        self._is_new = target.entry.version == version
        self._is_counted = False
        others = [
            each
            for each in context.targets.of_service(admitted.service)
            if each.entry.version != version
        ]
        self._token_s = mean_token_s(others)
        self._typical_s = self._typical_start_s(others, estimate)

    def _typical_start_s(
        self, others: Sequence[Target], estimate: FirstEventEstimate
    ) -> float | None:
        """Return the usual time to a first event or full response, or None."""
        if self._admitted.parsed_headers.work.prompt_tokens:
            model = self._target.first_event_model
            prefill_s = model.prefill_s(
                self._token_s, estimate.ahead_tokens, estimate.own_tokens
            )
            return model.fixed_s + prefill_s + estimate.slot_wait_s
        known = [each.slot_s for each in others if each.slot_s is not None]
        return sum(known) / len(known) + estimate.slot_wait_s if known else None

    def record(self, attempt: Attempt, elapsed_s: float, tokens_per_event: int) -> None:
        """Count the response.

        Parameters
        ----------
        attempt : Attempt
            The attempt, which has ended.
        elapsed_s : float
            Time since it was sent, in seconds.
        tokens_per_event : int
            Output tokens per event of a stream.
        """
        rollouts, service = self._context.rollouts, self._admitted.service
        kind = self._classify(attempt, elapsed_s, tokens_per_event)
        if kind is None:
            return
        if attempt.target_ended:
            incarnation_id = self._target.entry.incarnation_id
            rollouts.record_crash(service, incarnation_id, is_new=self._is_new)
            return
        if not self._is_new:
            rollouts.record_duration(service, elapsed_s)
        self._count(kind)

    def check_progress(self, attempt: Attempt, elapsed_s: float) -> None:
        """Count a response as slow as soon as it is late, before the attempt ends.

        Parameters
        ----------
        attempt : Attempt
            The attempt, which is running.
        elapsed_s : float
            Time since it was sent, in seconds.
        """
        if attempt.first_event_at is None and self._is_late(elapsed_s):
            self._count(AnswerKind.SLOW)

    def _count(self, kind: AnswerKind) -> None:
        """Count the response once."""
        if self._is_counted:
            return
        self._is_counted = True
        context, service = self._context, self._admitted.service
        context.rollouts.record_answer(service, self._answer_key, kind, context.clock())

    def _classify(
        self, attempt: Attempt, elapsed_s: float, tokens_per_event: int
    ) -> AnswerKind | None:
        """Return the class of the response; None if it is not conclusive."""
        if attempt.end in FAILED_ENDS:
            return AnswerKind.FAILED
        if attempt.end is AttemptEnd.ANSWERED:
            is_slow = self._is_slow(attempt, elapsed_s, tokens_per_event)
            return AnswerKind.SLOW if is_slow else AnswerKind.GOOD
        caller_left = attempt.end is None and attempt.first_event_at is None
        if caller_left and self._is_late(elapsed_s):
            return AnswerKind.SLOW
        return None

    def _is_slow(
        self, attempt: Attempt, elapsed_s: float, tokens_per_event: int
    ) -> bool:
        if attempt.first_event_at is None or attempt.last_event_at is None:
            return self._is_late(elapsed_s)
        streaming_s = attempt.last_event_at - attempt.first_event_at
        tokens = tokens_per_event * max(0, attempt.events - 1)
        typical_s = tokens * self._token_s
        is_stream_slow = streaming_s > SLOW_FACTOR * typical_s + SLOW_MARGIN_S
        return is_stream_slow or self._is_late(elapsed_s - streaming_s)

    def _is_late(self, elapsed_s: float) -> bool:
        if self._typical_s is None:
            return False
        return elapsed_s > SLOW_FACTOR * self._typical_s + SLOW_MARGIN_S
