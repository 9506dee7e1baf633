"""Detection of VMs on which every request and job fails."""

import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import final

from verbenapost.coordination.pools.records import Fleet
from verbenapost.protocol.codec import register_message
from verbenapost.state.vms import VmState

#: Seconds over which the outcomes of a VM are counted.
WINDOW_SECONDS = 60.0

#: Minimum failed requests and jobs of an unhealthy VM, without a success in
#: the window.
MIN_FAILURES = 20

#: Maximum share of a pool that is marked as failed because of outcomes.
FAILED_SHARE = 0.25

#: Reason of a VM on which every request and job failed.
UNHEALTHY = 'fails everything it starts'


#: Message code of the worker report on peer streams.
_REPORT_CODE = 90


@final
@register_message(_REPORT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """Outcomes on a VM that one daemon saw since its last report.

    :param vm: name of the VM.
    :param done: number of successful requests and jobs.
    :param failed: number of requests and jobs that failed on this VM and are
        not known to fail on other VMs.
    """

    vm: str
    done: int
    failed: int


_Reports = collections.deque[tuple[float, WorkerReport]]


@final
class HealthTracker:
    """Finds the VMs to mark as failed, with a limit per pool.

    :param window: seconds over which outcomes are counted.
    """

    def __init__(self, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._reports: dict[str, _Reports] = {}

    def record(self, report: WorkerReport, now: float) -> None:
        """Record the report of a daemon."""
        reports = self._reports.setdefault(report.vm, collections.deque())
        reports.append((now, report))

    def find_unhealthy(self, fleet: Fleet, now: float) -> list[str]:
        """Return the VMs to mark as failed, most failures first per pool."""
        found: list[str] = []
        for pool in sorted({vm.pool for vm in fleet}):
            found.extend(self._find_in_pool(fleet, pool, now))
        return found

    def forget(self, names: Iterable[str]) -> None:
        """Drop the outcomes of VMs, for example of VMs marked as failed."""
        for name in names:
            self._reports.pop(name, None)

    def _find_in_pool(
        self,
        fleet: Fleet,
        pool: str,
        now: float,
    ) -> list[str]:
        members = fleet.list_pool(pool)
        marked = sum(vm.reason == UNHEALTHY for vm in members)
        failures = {
            vm.name: self._count_failures(vm.name, now)
            for vm in members
            if vm.state is VmState.IN_SERVICE
        }
        by_failures = sorted(failures, key=lambda name: (-failures[name], name))
        unhealthy = [
            name for name in by_failures if failures[name] >= MIN_FAILURES
        ]
        cap = max(1, math.floor(len(members) * FAILED_SHARE))
        return unhealthy[: max(0, cap - marked)]

    def _count_failures(self, name: str, now: float) -> int:
        """Count failures in the window; zero after any success."""
        reports = self._reports.get(name)
        if reports is None:
            return 0
        while reports and reports[0][0] <= now - self._window:
            reports.popleft()
        if any(report.done for _, report in reports):
            return 0
        return sum(report.failed for _, report in reports)
