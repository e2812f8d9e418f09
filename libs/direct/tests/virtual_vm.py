"""VMs of routers with a link and a processor, in virtual time."""

from asyncio import get_running_loop

MAX_QUEUE_S = 0.5
"""Time for which datagrams wait for a link at most; then they are lost."""
REQUEST_S = 0.001
EVENT_S = 0.00005


class VirtualVm:
    """The link and the processor of one VM, each serving one thing after the other.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth of the link, in each direction.
    speed : float
        Speed of the processor, relative to one that needs `REQUEST_S` for a request.
    """

    def __init__(self, *, link_bytes_per_s, speed=1.0):
        self.link_bytes_per_s = link_bytes_per_s
        self.speed = speed
        self.free_at = {"in": 0.0, "out": 0.0, "processor": 0.0}
        self.busy_s = 0.0

    def carry_in(self, size, deliver, *args):
        """Call a function once some bytes have come in and were processed."""
        at = self._end_of("in", size / self.link_bytes_per_s)
        get_running_loop().call_at(at, self.process, EVENT_S, deliver, *args)

    def carry_out(self, size, deliver, *args):
        """Call a function once some bytes have gone out."""
        at = self._end_of("out", size / self.link_bytes_per_s)
        get_running_loop().call_at(at, deliver, *args)

    def process(self, seconds, work, *args):
        """Call a function once the processor has got to it."""
        self.busy_s += seconds / self.speed
        at = self._end_of("processor", seconds / self.speed)
        get_running_loop().call_at(at, work, *args)

    def queue_s(self, kind):
        """Return how long new work waits for a resource."""
        return max(0.0, self.free_at[kind] - get_running_loop().time())

    def _end_of(self, kind, seconds):
        now = get_running_loop().time()
        self.free_at[kind] = max(now, self.free_at[kind]) + seconds
        return self.free_at[kind]
