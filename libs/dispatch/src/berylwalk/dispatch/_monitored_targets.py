"""Which target a monitor reports, and which monitors a router listens to.

A monitor knows the address of its target, but not its incarnation: after a restart the
entry of the ended one stays listed for a while, and would look idle.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from berylwalk.dispatch._target import Target

MAX_REPORTS_PER_S = 1000.0
"""Rate of reports that a router asks for, over all monitors, as long as the interval
stays within its bounds."""
MIN_REPORT_INTERVAL_S = 0.05
MAX_REPORT_INTERVAL_S = 0.1
"""Bounds of the interval between two reports of a target, in seconds: reports are used
for a little longer than the upper one."""


def report_interval_s(targets: int) -> float:
    """Return the interval of reports to ask for, by the number of targets."""
    interval_s = targets / MAX_REPORTS_PER_S
    return min(max(interval_s, MIN_REPORT_INTERVAL_S), MAX_REPORT_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class MonitoredLife:
    """A period in which the target of a monitor did not end.

    Parameters
    ----------
    monitor_life : str
        Process of the monitor.
    target_ends : int
        How often that process has found the target gone.
    """

    monitor_life: str
    target_ends: int


class MonitoredTargets:
    """Targets with monitors, by the address that these report.

    Two entries may have one address: that of an ended incarnation, and that of the
    target which has taken over the address. Reports are of the one listed last.
    """

    def __init__(self) -> None:
        self._by_address: dict[str, Target] = {}
        self._lives_by_incarnation: dict[str, MonitoredLife] = {}

    def replace(
        self, targets: Iterable[Target], is_monitored: Callable[[Target], bool]
    ) -> None:
        """Select the targets whose reports are used, out of all in order of listing."""
        self._by_address = {
            f"{target.entry.host}:{target.entry.port}": target
            for target in targets
            if is_monitored(target) and not target.is_replaced
        }
        incarnations = {
            target.entry.incarnation_id for target in self._by_address.values()
        }
        for incarnation in self._lives_by_incarnation.keys() - incarnations:
            del self._lives_by_incarnation[incarnation]

    @property
    def targets(self) -> list[Target]:
        """The selected targets."""
        return list(self._by_address.values())

    def hosts(self) -> set[str]:
        """Return the hosts of the selected targets."""
        return {target.entry.host for target in self._by_address.values()}

    def target_of(self, address: str, life: MonitoredLife) -> Target | None:
        """Return the target that a report is of, or None.

        If the target ended since the first report of this incarnation, its entry
        is outdated, and the process at its address is another one.
        """
        target = self._by_address.get(address)
        if target is None or target.is_replaced:
            return None
        incarnation = target.entry.incarnation_id
        known = self._lives_by_incarnation.get(incarnation)
        if known is None or known.monitor_life != life.monitor_life:
            self._lives_by_incarnation[incarnation] = life
            return target
        return target if known == life else None
