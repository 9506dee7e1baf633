"""Jobs made of steps, the queues that take them and the workers they need."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Room that a task needs or that a worker has.

    >>> Size(500, 256, 0).fits(Size(1000, 256, 0))
    True

    :param cpu: processors, in thousandths of a core.
    :param memory: memory in MB.
    :param gpus: accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def fits(self, room: 'Size') -> bool:
        """Return whether it is within a room in every respect."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.gpus <= room.gpus
        )

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum of two sizes."""
        return Size(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpus + other.gpus,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return what is left; negative when overdrawn."""
        return Size(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpus - other.gpus,
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """Tasks of a job that are alike and may run at the same time.

    :param count: number of tasks.
    :param size: room that each task asks for.
    :param estimate: rough run time of a task in seconds.
    :param after: numbers of the steps that have to be done before.
    :param checkpointing: whether a task can go on where it was stopped.
    :param gang: whether the tasks work only all together.
    :param same_rack: whether they are slow on more than one rack.
    :param requires: label that the worker must have, or empty.
    :param affinity: rack of the data, or empty.
    :param anti_affinity: tasks that may share a worker; 0 for any number.
    :param speculative: whether copies of a task may run at the same time.
    :param long_running: whether the tasks run until the job is cancelled.
    :param image: name of what the tasks run.
    :param target: bound on the tail of response times in seconds, or 0.
    :param fills: whether the tasks take only what others leave unused.
    :param may_miss: tasks that planned work may keep from running at a time.
    """

    count: int
    size: Size = Size()
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
class JobSpec:
    """A job as its caller has submitted it.

    :param job: identity chosen by the caller.
    :param route: name of the queue's route.
    :param service: service that ran the route when the job was accepted.
    :param payload: text that each of its tasks is started with.
    :param steps: the steps, in the caller's order.
    :param submitted_at: Unix time at which an entry took it, in seconds.
    :param repetitions: how often the steps run at set times; 0 for once,
        now.
    :param start_at: Unix time of the first occurrence in seconds.
    :param interval: seconds between two occurrences.
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


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identity of a task.

    :param job: identity of the job.
    :param occurrence: number of the occurrence.
    :param step: number of the step.
    :param index: number of the task inside of its step.
    """

    job: str
    occurrence: int
    step: int
    index: int


@enum.unique
class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self not in {JobState.QUEUED, JobState.RUNNING}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Cost of asking which workers a queue's policy allows.

    :param decide: seconds for each question.
    :param per_worker: seconds more for each worker named in it.
    :param valid: seconds for which a ticket holds.
    """

    decide: float
    per_worker: float
    valid: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue: where its jobs come in and which service runs them.

    :param name: unique name.
    :param host: host that callers name.
    :param prefix: start of the path that callers name.
    :param service: service whose workers run the tasks.
    :param priority: 0 is the most urgent.
    :param max_attempts: failures of one task that end its job.
    :param slack_factor: how many times its longest chain of work a job may
        take.
    :param target_latency: seconds that a job may take on top of it.
    :param advice: terms of the policy's service, where one decides.
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


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    :param name: name of the service and of its pool.
    :param standby: whether the pool's VMs are off and cost nothing.
    """

    name: str
    standby: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The operators' configuration.

    :param version: rises with each change.
    :param routes: routes by name.
    :param services: services by name.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        found: Route | None = None
        for route in self.routes.values():
            if route.host != host or not path.startswith(route.prefix):
                continue
            if found is None or len(route.prefix) > len(found.prefix):
                found = route
        return found


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker has registered of itself.

    :param worker: identity of the worker.
    :param born: Unix millisecond at which this life of it began.
    :param service: service that it belongs to.
    :param address: ``IP:port``.
    :param data_centre: where it runs.
    :param draining: whether it is about to leave.
    :param room: all its room.
    :param labels: its kind and its rack.
    :param vm: the VM that it runs on, or empty.
    """

    worker: str
    born: int
    service: str
    address: str
    data_centre: str
    draining: bool
    room: Size
    labels: tuple[str, ...]
    vm: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """VMs that the operators want maintained.

    :param number: number of the wave.
    :param vms: names of the VMs.
    :param duration: seconds in which it should be over.
    :param cap: VMs that may be down for it at the same time.
    """

    number: int
    vms: tuple[str, ...]
    duration: float
    cap: int


@enum.unique
class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'maintenance'
    DOWN = 'down'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM in the platform's list.

    :param vm: name of the VM.
    :param pool: service whose pool it is in.
    :param state: whether it can be used.
    :param labels: its kind and its rack.
    :param room: all its room.
    :param worker: identity of its worker, or empty.
    """

    vm: str
    pool: str
    state: VmState
    labels: tuple[str, ...]
    room: Size
    worker: str
