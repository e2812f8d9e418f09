"""Fakes of external systems for the demo, tests and benchmarks.

Run as processes: ``python -m berylwalk.standins.platform``, ``.engine`` and
``.service``. `berylwalk.standins.memory` has an in-memory key-value store.
"""

from berylwalk.standins._completions import expected_text
from berylwalk.standins._loopback import loopback_host
from berylwalk.standins._prefix_cache import BLOCK_TOKENS
from berylwalk.standins._serving import serving

__all__ = ["BLOCK_TOKENS", "expected_text", "loopback_host", "serving"]
