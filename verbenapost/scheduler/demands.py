"""The demand of each pool, as the leader measures it."""

import time
from collections.abc import Sequence
from typing import Any, Final

from verbenapost.coordination.scheduling.capacity import PoolDemand
from verbenapost.coordination.scheduling.demand import (
    BACKLOG_DRAIN_SECONDS,
    DemandMeter,
    Load,
    measure_load,
)
from verbenapost.coordination.scheduling.jobs import Job, Task
from verbenapost.coordination.scheduling.packing import count_vms
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.state.workloads import Resources

#: Seconds between two log lines on a pool's demand.
LOG_SECONDS: Final = 1.0

_MILLI: Final = 1000


class PoolDemands:
    """Measures the demand of each pool from its jobs and its load.

    :param log: logger.
    :ivar blocked: tasks that stay on VMs that should leave, by service.
    """

    def __init__(self, log: Any) -> None:
        self.blocked: dict[str, list[Task]] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._logged_at: dict[str, float] = {}
        self._log = log

    @property
    def has_demand(self) -> bool:
        """Whether any pool has ever had demand."""
        return any(meter.has_demand for meter in self._meters.values())

    def record_job(
        self, service: str, job: str, core_seconds: float, now: float
    ) -> None:
        """Record that a job was requested; a repeated job is ignored.

        :param service: name of the pool's service.
        :param job: identity of the job.
        :param core_seconds: expected work of the job.
        :param now: local seconds.
        """
        self._find_meter(service).record_job(job, core_seconds, now)

    def note_job(self, pool_state: PoolState, job: Job) -> None:
        """Record the demand of an added job, including inherited jobs."""
        seconds = pool_state.run_times.estimate(job.spec.route)
        cores = sum(
            step.count * step.size.cpu / _MILLI
            for step in job.spec.steps
            if not step.long_running
        )
        self.record_job(
            pool_state.service, job.spec.job, cores * seconds, job.arrived_at
        )

    def measure(
        self, pool_state: PoolState, vm_capacity: Resources, now: float
    ) -> PoolDemand:
        """Return the demand of a pool.

        :param pool_state: state of the pool.
        :param vm_capacity: capacity of a typical VM.
        :param now: local seconds.
        """
        service = pool_state.service
        load = measure_load(pool_state, time.time())
        rate = self._find_meter(service).read_rate(now)
        lasting = _convert_long_running(load, vm_capacity)
        unplaced = [*pool_state.unplaced, *self.blocked.get(service, ())]
        self._log_demand(service, load, rate, unplaced, now)
        return PoolDemand(
            service,
            lasting + rate + load.waiting / BACKLOG_DRAIN_SECONDS,
            count_vms(unplaced, vm_capacity),
        )

    def _find_meter(self, service: str) -> DemandMeter:
        return self._meters.setdefault(service, DemandMeter())

    def _log_demand(
        self,
        service: str,
        load: Load,
        rate: float,
        unplaced: Sequence[Task],
        now: float,
    ) -> None:
        if now - self._logged_at.get(service, 0) < LOG_SECONDS:
            return
        self._logged_at[service] = now
        self._log.info(
            'demand',
            pool=service,
            rate=round(rate, 1),
            lasting=load.long_running,
            memory=load.long_running_memory,
            running=load.running,
            waiting=load.waiting,
            unplaced=len(unplaced),
        )


def _convert_long_running(load: Load, vm_capacity: Resources) -> float:
    """Return the cores of the VMs that the long-running tasks fill."""
    if not vm_capacity.memory:
        return load.long_running
    vms = load.long_running_memory / vm_capacity.memory
    return max(load.long_running, vms * vm_capacity.cpu / _MILLI)
