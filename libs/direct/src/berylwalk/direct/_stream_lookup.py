"""How a router knows at which version of the software a stream began."""

from enum import StrEnum
from typing import Self


class LookupFailure(StrEnum):
    """Why the store told no version of a stream."""

    ABSENT = "absent"
    """The store has no record of the stream."""

    UNAVAILABLE = "unavailable"
    """The store did not answer, or rejected the call."""

    LATE = "late"
    """The answer did not come in time."""


class VersionSource(StrEnum):
    """How the version of a stream that a caller takes up is known, or why it is not."""

    RECORDED = "recorded"
    """This router or another has seen the stream begin."""

    STORED = "stored"
    """The store has a record of the stream."""

    ONLY_ONE = "only-one"
    """The stream can only have begun at one version."""

    STORE_AWAY = "store-away"
    """The same, as all known routers say while the store answers none of them."""

    NOT_NAMED = "not-named"
    """The caller does not say which request began the stream."""

    ABSENT = "absent"
    UNAVAILABLE = "unavailable"
    LATE = "late"

    @classmethod
    def from_failure(cls, failure: LookupFailure) -> Self:
        """Return why a version is not known."""
        return cls(failure.value)
