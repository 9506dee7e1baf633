"""Reports on starting tasks for which an evacuation waits.

Load pattern: a wave empties many VMs of long-running tasks, and the disruption
budget of each step lets it stop only a few at a time. How soon the next one may
stop depends on when the leader sees the last one at work again.
"""

import asyncio
from typing import Final, Protocol

from verbenapost.coordination.scheduling.evacuation import delays_evacuation
from verbenapost.coordination.scheduling.jobs import Task
from verbenapost.coordination.scheduling.poolstate import PoolState

#: Seconds between two reports on a starting task.
REPORT_SECONDS: Final = 0.4

#: Reports that are requested for one task; its worker also reports unasked.
MAX_REPORTS: Final = 5


class LeaseRenewal(Protocol):
    """A link whose lease renewals are answered with a report."""

    async def renew_leases(self, wait: float) -> bool:
        """Renew the leases and apply the worker's report."""


async def follow_startup(
    link: LeaseRenewal, pool_state: PoolState, task: Task
) -> None:
    """Request reports until a started task is at work.

    :param link: link to the task's worker.
    :param pool_state: state of the worker's pool.
    :param task: the started task.
    """
    run = task.run
    for _ in range(MAX_REPORTS):
        if task.run != run or not delays_evacuation(pool_state, task):
            return
        await asyncio.sleep(REPORT_SECONDS)
        await link.renew_leases(0)
