"""The demand of each pool, as the leader measures it."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

from verbenapost.coordination.scheduling.capacity import PoolDemand
from verbenapost.coordination.scheduling.demand import (
    BACKLOG_DRAIN_SECONDS,
    DemandMeter,
    Load,
    measure_load,
)
from verbenapost.coordination.scheduling.jobs import Job, Task
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.packing import count_vms
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.scheduler.clock import read_moment
from verbenapost.state.resources import Resources

#: Seconds between two log lines on a pool's demand.
LOG_SECONDS: Final = 1.0

_MILLI: Final = 1000


class PoolDemands:
    """Measures the demand of each pool from its jobs and its load.

    :param lead_seconds: seconds ahead of their due time at which occurrences
        of scheduled jobs count: those that a VM needs to join a pool.
    :param log: logger.
    :ivar blocked: tasks that stay on VMs that should leave, by service.
    """

    def __init__(self, lead_seconds: float, log: Any) -> None:
        self.blocked: dict[str, list[Task]] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._logged_at: dict[str, float] = {}
        self._lead_seconds = lead_seconds
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
        if job.spec.repetitions:
            # Its occurrences are recorded as they become due.
            return
        self.record_job(
            pool_state.service,
            job.spec.job,
            _estimate_work(pool_state, job),
            job.arrived_at,
        )

    def measure_all(
        self, pool_states: Iterable[PoolState], vm_capacity: Resources
    ) -> list[PoolDemand]:
        """Return the current demand of each pool.

        :param pool_states: states of the pools.
        :param vm_capacity: capacity of a typical VM.
        """
        moment = read_moment()
        return [
            self.measure(pool_state, vm_capacity, moment)
            for pool_state in pool_states
        ]

    def measure(
        self, pool_state: PoolState, vm_capacity: Resources, moment: Moment
    ) -> PoolDemand:
        """Return the demand of a pool.

        :param pool_state: state of the pool.
        :param vm_capacity: capacity of a typical VM.
        :param moment: time of the measurement.
        """
        service = pool_state.service
        now = moment.now
        self._record_due(pool_state, moment)
        load = measure_load(pool_state, moment.wall + self._lead_seconds)
        rate = self._find_meter(service).predict_rate(now, self._lead_seconds)
        lasting = _convert_long_running(load, vm_capacity)
        unplaced = [*pool_state.unplaced, *self.blocked.get(service, ())]
        self._log_demand(service, load, rate, unplaced, now)
        return PoolDemand(
            service,
            lasting + rate + load.waiting / BACKLOG_DRAIN_SECONDS,
            count_vms(unplaced, vm_capacity),
        )

    def _record_due(self, pool_state: PoolState, moment: Moment) -> None:
        """Record the occurrences of scheduled jobs that are due soon."""
        first = moment.wall
        last = first + self._lead_seconds
        for job in pool_state.list_open_jobs():
            spec = job.spec
            for number in range(spec.repetitions):
                if first < spec.start_at + number * spec.interval <= last:
                    self.record_job(
                        pool_state.service,
                        f'{spec.job}/{number}',
                        _estimate_work(pool_state, job),
                        moment.now,
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


def _estimate_work(pool_state: PoolState, job: Job) -> float:
    """Return the work of one occurrence of a job in core-seconds."""
    cores = sum(
        step.count * step.size.cpu / _MILLI
        for step in job.spec.steps
        if not step.long_running
    )
    return cores * pool_state.run_times.estimate(job.spec.route)


def _convert_long_running(load: Load, vm_capacity: Resources) -> float:
    """Return the cores of the VMs that the long-running tasks fill."""
    if not vm_capacity.memory:
        return load.long_running
    vms = load.long_running_memory / vm_capacity.memory
    return max(load.long_running, vms * vm_capacity.cpu / _MILLI)
