"""Messages between operators and a daemon."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Any, final


@enum.unique
class WaveAction(enum.StrEnum):
    """What an operator does to the maintenance wave."""

    START = 'start'
    PAUSE = 'pause'
    RESUME = 'resume'
    STOP = 'stop'


@enum.unique
class VmAction(enum.StrEnum):
    """What an operator does to a VM."""

    MOVE = 'move'
    DRAIN = 'drain'
    RETURN = 'return'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentStatus:
    """A configuration document as it is in force.

    :param team: team or ``platform``.
    :param revision: revision of the document, 0 when there is none.
    :param document: plain JSON values.
    """

    team: str
    revision: int
    document: Any


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TeamStatus:
    """A team and what its document holds.

    :param team: team or ``platform``.
    :param revision: revision of the document.
    :param services: names of the services that it owns.
    :param quotas: calling teams that it sets quotas for.
    """

    team: str
    revision: int
    services: Sequence[str] = ()
    quotas: Sequence[str] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmRequest:
    """A VM's change as an operator asks for it.

    :param action: what to do.
    :param vm: name of the VM.
    :param pool: pool to move to, empty for other actions.
    :param reason: why, for other operators.
    :param operator: who asks.
    """

    action: VmAction
    vm: str
    pool: str
    reason: str
    operator: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRequest:
    """A change of the maintenance wave as an operator asks for it.

    :param action: what to do.
    :param name: name of the wave, for a start.
    :param due_days: VMs maintained longer ago than this many days are due.
    :param reason: why, for other operators.
    :param operator: who asks.
    """

    action: WaveAction
    name: str
    due_days: float
    reason: str
    operator: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatus:
    """A pool and its VMs.

    :param name: name of the pool.
    :param need: VMs that its services need at peak.
    :param in_service: VMs in service.
    :param leaving: VMs on their way out or back.
    :param failed: VMs that failed.
    :param spare: whether idle VMs replace failed VMs of other pools.
    """

    name: str
    need: int
    in_service: int
    leaving: int
    failed: int
    spare: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """A service and its queue.

    :param name: name of the service.
    :param team: team that owns it.
    :param pool: pool that runs it.
    :param targets: VMs in service.
    :param slots: slots of these VMs together.
    :param running: requests that run.
    :param waiting: requests that wait.
    :param owner: daemon that owns the queue.
    """

    name: str
    team: str
    pool: str
    targets: int
    slots: int
    running: int
    waiting: int
    owner: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BudgetStatus:
    """An availability budget and what is left of it.

    :param service: name of the service.
    :param team: team that owns it.
    :param min_healthy: VMs that stay in service at every moment.
    :param healthy: VMs in service.
    :param max_planned: VMs that planned work may take out together.
    :param planned: VMs that planned work has out.
    :param survive: failure domain whose loss is covered.
    :param stopped: no planned outage is granted.
    """

    service: str
    team: str
    min_healthy: int
    healthy: int
    max_planned: int
    planned: int
    survive: str
    stopped: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveStatus:
    """The maintenance wave and its plan.

    :param name: name of the wave, empty for none.
    :param state: ``none``, ``running``, ``paused`` or ``done``.
    :param reason: why it was started or stopped.
    :param total: VMs that it covers.
    :param done: VMs that have been maintained.
    :param running: VMs that are out for it.
    :param waiting: reason for each VM that waits.
    :param expected_end: Unix time in seconds at which the plan ends, or
        ``None`` when it can not.
    :param deadline_met: whether each VM is maintained in time.
    :param binding: what keeps the wave from going faster.
    """

    name: str
    state: str
    reason: str = ''
    total: int = 0
    done: int = 0
    running: Sequence[str] = ()
    waiting: Mapping[str, str] = dataclasses.field(default_factory=dict)
    expected_end: float | None = None
    deadline_met: bool = True
    binding: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """An accepted job.

    :param job: identity of the job.
    :param team: team that submitted it.
    :param pool: pool that runs it.
    :param state: where it is on its way.
    :param urgency: 0, the most urgent, to 7.
    :param attempt: attempts so far.
    :param vm: VM that runs it, empty while it waits.
    :param submitted_at: Unix time in seconds.
    :param detail: why it waits or failed.
    """

    job: str
    team: str
    pool: str
    state: str
    urgency: int
    attempt: int
    vm: str
    submitted_at: float
    detail: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A daemon as its peers see it.

    :param name: name of the daemon.
    :param address: ``IP:port`` of its peer stream.
    :param data_centre: data centre that it runs in.
    :param state: ``live``, ``joining`` or ``silent``.
    :param revision: configuration revision that it has applied.
    :param age: seconds since it was last heard of.
    """

    name: str
    address: str
    data_centre: str
    state: str
    revision: int
    age: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What the answering daemon says of itself.

    :param name: name of the daemon.
    :param region: region that it runs in.
    :param data_centre: data centre that it runs in.
    :param version: version of the program.
    :param ready: whether it takes new work.
    :param reason: why it is not ready.
    :param revision: configuration revision that it has applied.
    :param freshness_age: seconds since its view was confirmed.
    :param members: live members of its region.
    :param duties: duties that it holds.
    :param running: requests that run through it.
    """

    name: str
    region: str
    data_centre: str
    version: str
    ready: bool
    reason: str
    revision: int
    freshness_age: float
    members: int
    duties: Sequence[str]
    running: int
