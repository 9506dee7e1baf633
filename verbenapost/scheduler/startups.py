"""Reports on started tasks for which other tasks wait.

Load patterns: a wave empties many VMs of long-running tasks, and the disruption
budget of each step lets it stop only a few at a time. How soon the next one may
stop depends on when the leader sees the last one at work again. A rack crashes,
and nothing else starts beside each of its tasks until a report proves its run.
"""

import asyncio
from typing import Final, Protocol

from verbenapost.coordination.scheduling.crashes import (
    PROOF_SECONDS,
    find_awaiting_proof,
)
from verbenapost.coordination.scheduling.evacuation import delays_evacuation
from verbenapost.coordination.scheduling.jobs import Task
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker

#: Seconds between two reports on a starting task.
REPORT_SECONDS: Final = 0.4

#: Reports that are requested for one task; its worker also reports unasked.
MAX_REPORTS: Final = 5


class LeaseRenewal(Protocol):
    """A link whose lease renewals are answered with a report.

    :ivar ended: whether the worker's incarnation has ended.
    :ivar worker: the worker.
    """

    ended: bool
    worker: Worker

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


async def follow_proofs(link: LeaseRenewal, pool_state: PoolState) -> None:
    """Request reports until the runs of suspect jobs are proven.

    :param link: link to the worker of the runs.
    :param pool_state: state of the worker's pool.
    """
    for _ in range(MAX_REPORTS):
        if link.ended or not find_awaiting_proof(pool_state, link.worker):
            return
        await asyncio.sleep(PROOF_SECONDS)
        await link.renew_leases(0)
