"""Workers that fail everything they start."""

import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import final

from verbenapost.coordination.pools.records import Fleet
from verbenapost.protocol.codec import register_message
from verbenapost.state.vms import VmState

#: Seconds over which outcomes of a VM are counted.
WINDOW_SECONDS = 60.0

#: Requests and jobs that a VM must have failed, with none done between.
MIN_FAILURES = 20

#: Share of a pool that may be marked as failed for its outcomes.
FAILED_SHARE = 0.25

#: Reason of a VM that failed everything it started.
UNHEALTHY = 'fails everything it starts'


#: Code of the worker report on peer streams.
_REPORT_CODE = 90


@final
@register_message(_REPORT_CODE)
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """Outcomes of a VM at one daemon since its last report.

    :param vm: name of the VM.
    :param done: requests and jobs that it did.
    :param failed: requests and jobs that failed there and are not known to
        fail elsewhere.
    """

    vm: str
    done: int
    failed: int


_Reports = collections.deque[tuple[float, WorkerReport]]


@final
class HealthTracker:
    """Finds the VMs to mark as failed, with a cap for each pool.

    :param window: seconds over which outcomes are counted.
    """

    def __init__(self, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._reports: dict[str, _Reports] = {}

    def record(self, report: WorkerReport, now: float) -> None:
        """Count a daemon's report."""
        reports = self._reports.setdefault(report.vm, collections.deque())
        reports.append((now, report))

    def find_unhealthy(self, fleet: Fleet, now: float) -> list[str]:
        """Return the VMs to mark as failed, the worst first."""
        found: list[str] = []
        for pool in sorted({vm.pool for vm in fleet}):
            found.extend(self._find_in_pool(fleet, pool, now))
        return found

    def forget(self, names: Iterable[str]) -> None:
        """Drop the outcomes of VMs, such as those that were rebooted."""
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
        worst = sorted(failures, key=lambda name: (-failures[name], name))
        bad = [name for name in worst if failures[name] >= MIN_FAILURES]
        cap = max(1, math.floor(len(members) * FAILED_SHARE))
        return bad[: max(0, cap - marked)]

    def _count_failures(self, name: str, now: float) -> int:
        """Count failures; zero when anything was done in the window."""
        reports = self._reports.get(name)
        if reports is None:
            return 0
        while reports and reports[0][0] <= now - self._window:
            reports.popleft()
        if any(report.done for _, report in reports):
            return 0
        return sum(report.failed for _, report in reports)
