"""What inherited jobs of each tenant may be running after a takeover.

Load pattern: a leader is replaced while tenants run at their caps. The workers
report within a second, or only after their leases have lapsed, and meanwhile
callers submit new jobs of the same tenants to pools that have settled.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final

from verbenapost.coordination.scheduling.jobs import Job, Task, TaskState
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.quotas import TenantUsage
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import CallerJobState

#: Seconds for which a count is used. It only falls while pools recover, so that
#: an older one is too high at most.
REFRESH_SECONDS: Final = 0.25

#: Seconds by which the wall clock of the former leader may have been ahead.
MAX_CLOCK_AHEAD: Final = 6.0


class InheritedUsage:
    """Counts the tasks that a former leader may have started, by tenant.

    Explanation
    ===========

    Until a pool has settled, each task of an inherited job counts that is not
    done, is not known to be placed, and whose occurrence was due. The record of
    a job may be older than its last run ends, so that the steps after those
    that it shows as open count as well. Nothing is computed once all pools have
    settled.

    :param list_pools: returns the states of all pools.
    """

    def __init__(self, list_pools: Callable[[], Iterable[PoolState]]) -> None:
        self._list_pools = list_pools
        self._counts: Mapping[str, Resources] = {}
        self._counted_at = -math.inf

    def count(self, moment: Moment) -> Mapping[str, Resources]:
        """Return the size of what each tenant may be running unseen."""
        recovering = [row for row in self._list_pools() if row.recovering]
        if not recovering:
            return {}
        if moment.now - self._counted_at >= REFRESH_SECONDS:
            self._counted_at = moment.now
            self._counts = _count_unseen(recovering, moment.wall)
        return self._counts


def _count_unseen(
    recovering: Iterable[PoolState], wall: float
) -> Mapping[str, Resources]:
    usage = TenantUsage()
    for pool_state in recovering:
        for job in pool_state.jobs.values():
            for task in _find_unseen(job, wall):
                usage.add(task.tenant, task.step.size)
    return {tenant: usage.read(tenant) for tenant in usage}


def _find_unseen(job: Job, wall: float) -> Iterator[Task]:
    """Yield the tasks of a job that may run without being booked.

    A job that was cancelled before the takeover has steps as long as its end is
    not stored; its tasks may still run.
    """
    completed = job.state is CallerJobState.COMPLETED
    if job.spec.tenant is None or not job.inherited or completed:
        return
    for step in job.steps():
        if step.due_at <= wall + MAX_CLOCK_AHEAD:
            for task in step.tasks:
                if task.state is TaskState.WAITING:
                    yield task
