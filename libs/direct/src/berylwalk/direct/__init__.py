"""The router that forwards straight to targets, without agents beside them."""

from berylwalk.direct._daemon import DirectRouter

__all__ = ["DirectRouter"]
