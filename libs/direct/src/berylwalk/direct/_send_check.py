"""Last check before a request is sent to a target that it was assigned to."""

from berylwalk.direct._admission import Admitted
from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Target, TargetState


def may_send(context: RouterContext, admitted: Admitted, target: Target) -> bool:
    """Return whether sending is still allowed once the connection is open.

    In the meantime, API keys may have lost their trust, the request may have been
    quarantined, and the target may have announced that it leaves or wants no requests
    for a while.
    """
    now = context.clock()
    requires_key = admitted.account is not None
    if requires_key and not context.configuration.trusts_keys(now):
        return False
    # A trial may be blocked by now for another reason than at its admission.
    verdict = context.quarantine.verdict(admitted.subjects, now)
    if set(verdict.blocked_by) - set(admitted.verdict.blocked_by):
        return False
    is_known = context.targets.by_id.get(target.entry.target_id) is target
    accepts_placed = target.flow_control.accepts_placed(now)
    return is_known and accepts_placed and target.entry.state is TargetState.READY
