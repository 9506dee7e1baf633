"""Jobs with their steps, the queues of the jobs, workers and VMs."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import final

from verbenapost.state.resources import Resources
from verbenapost.state.tenants import Tenant, TenantTerms


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """Tasks of a job that are alike and may run at the same time.

    :param count: number of tasks.
    :param size: resources that each task requests.
    :param estimate: rough run time of a task in seconds.
    :param after: numbers of the steps that must be done before this step.
    :param checkpointing: whether a stopped task can resume from a checkpoint.
    :param gang: whether the tasks can only run all at the same time.
    :param same_rack: whether the tasks are slow on more than one rack.
    :param requires: label that the worker must have, or empty.
    :param affinity: rack of the data, or empty.
    :param anti_affinity: maximum number of tasks of the step on one worker; 0
        for any number.
    :param speculative: whether copies of a task may run at the same time.
    :param long_running: whether the tasks run until the job is cancelled.
    :param image: name of the image that the tasks run.
    :param target: bound on the tail of response times in seconds, or 0.
    :param fills: whether the tasks are best-effort: they use only capacity
        that others leave unused.
    :param may_miss: number of tasks that planned work may keep from running
        at the same time.
    """

    count: int
    size: Resources = dataclasses.field(default_factory=Resources)
    estimate: float = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target: float = 0
    fills: bool = False
    may_miss: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Cost and lifetime of a policy service's advice on allowed workers.

    :param decide: seconds for each request.
    :param per_worker: additional seconds for each worker in the request.
    :param valid: seconds for which a ticket is valid.
    """

    decide: float
    per_worker: float
    valid: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Queue of jobs, its submission address and the service that runs them.

    :param name: unique name.
    :param host: host to which callers address their requests.
    :param prefix: prefix of the path of these requests.
    :param service: service whose workers run the tasks.
    :param priority: priority of the queue; 0 is the most urgent.
    :param max_attempts: failures of one task after which its job fails.
    :param slack_factor: run time that a job may take, as a multiple of the run
        time of its longest chain of steps.
    :param target_latency: seconds that a job may take in addition.
    :param advice: terms of the policy service, or ``None`` for no policy.
    :param auth_exempt: whether calls need no API key, so that the jobs belong
        to no tenant.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    target_latency: float = 0
    advice: AdviceTerms | None = None
    auth_exempt: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Job as submitted by its caller.

    :param job: identity chosen by the caller.
    :param route: name of the queue's route.
    :param service: service that ran the route when the job was accepted.
    :param payload: text with which each task is started.
    :param steps: the steps, in the caller's order.
    :param submitted_at: Unix time in seconds at which an entry accepted the
        job.
    :param repetitions: number of scheduled occurrences of the steps; 0 for a
        single immediate one.
    :param start_at: Unix time of the first occurrence in seconds.
    :param interval: seconds between two occurrences.
    :param terms: the route when the job was accepted; ``None`` if the job has
        ended, or was stored by a version without this field.
    :param tenant: terms of the job's tenant when the job was accepted; ``None``
        for a job of no tenant.
    """

    job: str
    route: str
    payload: str
    steps: tuple[StepSpec, ...]
    service: str = ''
    submitted_at: float = 0
    repetitions: int = 0
    start_at: float = 0
    interval: float = 0
    terms: Route | None = None
    tenant: TenantTerms | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identity of a task.

    :param job: identity of the job.
    :param occurrence: number of the occurrence.
    :param step: number of the step.
    :param index: number of the task within its step.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def position(self) -> tuple[int, int, int]:
        """Place of the task within its job."""
        return self.occurrence, self.step, self.index


@enum.unique
class CallerJobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self not in {CallerJobState.QUEUED, CallerJobState.RUNNING}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServicePool:
    """Service and its pool of workers.

    :param name: name of the service and of its pool.
    :param standby: whether the pool's VMs are off and cost nothing.
    """

    name: str
    standby: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """Routes, services and tenants as the operators configure them.

    :param version: number that increases with each change.
    :param routes: routes by name.
    :param services: services by name.
    :param tenants: tenants by name, or ``None`` for a configuration without
        tenants, whose callers need no API keys.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, ServicePool]
    tenants: Mapping[str, Tenant] | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        best: Route | None = None
        for route in self.routes.values():
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Registration of a worker.

    :param worker: identity of the worker.
    :param started_at_ms: Unix time in milliseconds at which this incarnation of
        the worker began.
    :param service: service to which the worker belongs.
    :param address: ``IP:port`` of the worker.
    :param data_centre: data centre in which the worker runs.
    :param draining: whether the worker is about to leave.
    :param capacity: total capacity of the worker.
    :param labels: kind and rack of the worker, the rack last.
    :param vm: VM on which the worker runs, or empty.
    """

    worker: str
    started_at_ms: int
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    vm: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """VMs that the operators want maintained.

    :param number: number of the wave.
    :param vms: names of the VMs.
    :param duration: seconds within which the wave should be complete.
    :param cap: maximum number of VMs that may be down for the wave at the
        same time.
    """

    number: int
    vms: tuple[str, ...]
    duration: float
    cap: int


@enum.unique
class FleetVmState(enum.StrEnum):
    """State of a VM in the platform's VM list.

    ``UNKNOWN`` is a state of a later platform version: such a VM is not usable,
    but its worker may run.
    """

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'maintenance'
    DOWN = 'down'
    UNKNOWN = 'unknown'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetVm:
    """Entry of the platform's VM list.

    :param vm: name of the VM.
    :param pool: name of the service to whose pool the VM belongs.
    :param state: whether the VM can be used.
    :param labels: kind and rack of the VM.
    :param capacity: total capacity of the VM.
    :param worker: identity of the worker on the VM, or empty.
    """

    vm: str
    pool: str
    state: FleetVmState
    labels: tuple[str, ...]
    capacity: Resources
    worker: str
