"""The caller API: OpenAI-compatible endpoints and plain services.

Every response carries the request id (``Berylwalk-Request-Id``) and the outcome of
the request (``Berylwalk-Outcome``): ``complete``, ``not-run``, ``unknown`` or
``invalid``. A response that is streamed to the caller carries ``streaming`` instead.
It is complete if it is properly terminated: by the last chunk or at the declared
length, and for model calls with ``data: [DONE]`` before that. An incomplete event
stream ends with an ``error`` event with outcome ``unknown``. For every incomplete
response the connection is closed without terminating the response.
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
