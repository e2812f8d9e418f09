"""The caller API: OpenAI-compatible endpoints and plain services.

Every response names its request (``Berylwalk-Request-Id``) and what became of it
(``Berylwalk-Outcome``): ``complete``, ``not-run``, ``unknown`` or ``invalid``. An
answer that is passed on while it arrives says ``streaming`` instead. Such an
answer is complete if it has a clean end: the terminating chunk or the announced
length, and for model calls ``data: [DONE]`` before it. A broken event stream ends
with an ``error`` event with outcome ``unknown``, and every broken answer with a
closed connection and no clean end.
"""

from berylwalk.caller._app import caller_app
from berylwalk.caller._errors import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    ErrorDocument,
    ErrorType,
)
from berylwalk.caller._interfaces import (
    Clock,
    KnownResources,
    PrefixHashes,
    ServicePolicySource,
)
from berylwalk.caller._limits import CallerLimits

__all__ = [
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "CallerLimits",
    "Clock",
    "ErrorDocument",
    "ErrorType",
    "KnownResources",
    "PrefixHashes",
    "ServicePolicySource",
    "caller_app",
]
