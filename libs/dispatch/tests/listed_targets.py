"""Target entries for tests."""

from berylwalk.dispatch import TargetEntry, TargetState


def entry(target_id, **changes):
    """Return the entry of a ready target."""
    values = {
        "target_id": target_id,
        "service": "s",
        "host": "127.0.0.1",
        "port": 1,
        "failure_domain": "fd-a",
        "slots": 4,
        "state": TargetState.READY,
    }
    return TargetEntry(**{**values, **changes})
