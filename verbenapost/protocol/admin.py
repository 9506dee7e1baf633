"""Messages between operators and a daemon."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Any, final


@enum.unique
class WaveAction(enum.StrEnum):
    """Action of an operator on the maintenance wave."""

    START = 'start'
    PAUSE = 'pause'
    RESUME = 'resume'
    STOP = 'stop'


@enum.unique
class VmAction(enum.StrEnum):
    """Action of an operator on a VM."""

    MOVE = 'move'
    DRAIN = 'drain'
    RETURN = 'return'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentStatus:
    """Configuration document in force.

    :param team: name of the team, or ``platform``.
    :param revision: revision of the document, 0 when there is none.
    :param document: the document as plain JSON values.
    """

    team: str
    revision: int
    document: Any


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TeamStatus:
    """Summary of a team's configuration document.

    :param team: name of the team, or ``platform``.
    :param revision: revision of the document.
    :param services: names of the services that the team owns.
    :param quotas: calling teams for which the document sets quotas.
    """

    team: str
    revision: int
    services: Sequence[str] = ()
    quotas: Sequence[str] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmRequest:
    """Request of an operator to change a VM.

    :param action: action to take.
    :param vm: name of the VM.
    :param pool: destination pool of a move; empty for other actions.
    :param reason: reason, shown to other operators.
    :param operator: name of the requesting operator.
    """

    action: VmAction
    vm: str
    pool: str
    reason: str
    operator: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRequest:
    """Request of an operator to change the maintenance wave.

    :param action: action to take.
    :param name: name of the wave; used only to start a wave.
    :param due_days: VMs maintained longer ago than this many days are due.
    :param reason: reason, shown to other operators.
    :param operator: name of the requesting operator.
    """

    action: WaveAction
    name: str
    due_days: float
    reason: str
    operator: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolStatus:
    """State of a pool and its VMs.

    :param name: name of the pool.
    :param need: number of VMs that the pool's services need at peak.
    :param in_service: number of VMs in service.
    :param leaving: number of VMs that drain, are in maintenance or return.
    :param failed: number of failed VMs.
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
    """State of a service and its queue.

    :param name: name of the service.
    :param team: team that owns the service.
    :param pool: pool that runs the service.
    :param targets: number of VMs in service.
    :param slots: total number of slots of these VMs.
    :param running: number of running requests.
    :param waiting: number of queued requests.
    :param owner: name of the daemon that owns the queue, empty for none.
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
    """State of a service's availability budget.

    :param service: name of the service.
    :param team: team that owns the service.
    :param min_healthy: minimum number of VMs in service at any time.
    :param healthy: number of VMs in service.
    :param max_planned: maximum number of VMs that planned work may take out
        of service at the same time.
    :param planned: number of VMs that planned work has taken out of service.
    :param survive: failure domain whose loss the budget covers.
    :param stopped: whether no planned outages are granted.
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
    """State and forecast of the maintenance wave.

    :param name: name of the wave, empty for none.
    :param state: ``none``, ``running``, ``paused`` or ``done``.
    :param reason: reason for which the wave was started or stopped.
    :param total: number of VMs that the wave covers.
    :param done: number of VMs that have been maintained.
    :param running: names of the VMs that are out of service for the wave.
    :param waiting: reason of the wait by name of each waiting VM.
    :param expected_end: forecast Unix time of the end in seconds, or ``None``
        when no VM is due or the wave cannot end.
    :param deadline_met: whether each VM is forecast to be maintained in time.
    :param binding: constraint that limits the speed of the wave.
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
    """State of an accepted job.

    :param job: identity of the job.
    :param team: team that submitted the job.
    :param pool: pool that runs the job.
    :param state: value of a :class:`verbenapost.state.jobs.JobState`.
    :param urgency: urgency from 0, the most urgent, to 7.
    :param attempt: number of attempts so far.
    :param vm: VM that runs the job; empty while the job waits.
    :param submitted_at: Unix time of the submission in seconds.
    :param detail: reason why the job waits or has failed.
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
    """State of a daemon as the answering daemon sees it.

    :param name: name of the daemon.
    :param address: ``IP:port`` of the daemon's peer stream.
    :param data_centre: data centre in which the daemon runs.
    :param state: ``live``, ``joining`` or ``silent``.
    :param revision: configuration revision that the daemon has applied.
    :param age: seconds since the last contact with the daemon.
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
    """State of the answering daemon.

    :param name: name of the daemon.
    :param region: region in which the daemon runs.
    :param data_centre: data centre in which the daemon runs.
    :param version: version of the program.
    :param ready: whether the daemon accepts new work.
    :param reason: reason why the daemon is not ready, empty when it is.
    :param revision: configuration revision that the daemon has applied.
    :param freshness_age: seconds since the daemon's view was last confirmed.
    :param members: number of live members of the region.
    :param duties: names of the roles that the daemon holds.
    :param running: number of requests that run through the daemon.
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
