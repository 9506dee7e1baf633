"""What a run leaves behind: the history that the rules look at.

All times are Unix seconds of one machine.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request handed to a daemon.

    :param number: identity of this sending.
    :param tag: last segment of the path; repeats of a key share it.
    :param key: idempotency key, empty for none.
    :param service: service that was called.
    :param entry: daemon that got it.
    :param idempotent: whether the service's configuration calls it so.
    :param probed_at: start of the last probe that found the daemon ready.
    :param body_bytes: size of the body.
    :param answer_bytes: least size of the answer that was asked for.
    """

    number: int
    at: float
    tag: str
    key: str
    service: str
    entry: str
    idempotent: bool
    body_bytes: int = 0
    answer_bytes: int = 0
    probed_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What a target wrote into its answer, and how long the answer was."""

    tag: str
    request_id: str
    received: int
    size: int
    text_size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole HTTP answer.

    :param request_id: from the header, or from the problem.
    :param kind: kind of error, empty for a target's answer.
    :param outcome: outcome of a problem, empty for a target's answer.
    :param content: what the target wrote; ``None`` when unreadable.
    """

    number: int
    at: float
    status: int
    request_id: str
    kind: str = ''
    outcome: str = ''
    content: Content | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A connection that ended without a whole answer."""

    number: int
    at: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run that a target reports."""

    target: str
    request_id: str
    key: str
    tag: str
    service: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A fault that was put in.

    :param kind: name of the fault.
    :param victim: process or VM that it struck.
    :param until: when it was over.
    """

    kind: str
    victim: str
    at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """A change that an operator asked for.

    :param number: identity of the change, in its audit reason.
    :param base: revision that it was made from.
    :param revision: revision that it got; 0 when it was not accepted.
    :param outcome: ``accepted``, ``not_run`` or ``unknown``.
    """

    number: int
    at: float
    base: int
    revision: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSeen:
    """Revision that a daemon said to have in force while it was ready.

    :param at: when it was asked.
    """

    entry: str
    at: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmSeen:
    """One state of a VM's record, in the order of the store's revisions."""

    name: str
    revision: int
    pool: str
    state: str
    epoch: int
    boot: int
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Everything recorded in one run.

    :param pools: pools that may run a service, its own one first.
    :param audit: numbers of the changes in the audit trail, in order.
    """

    sent: tuple[Sent, ...] = ()
    answered: tuple[Answered, ...] = ()
    cuts: tuple[Cut, ...] = ()
    runs: tuple[Run, ...] = ()
    strikes: tuple[Strike, ...] = ()
    changes: tuple[ConfigChange, ...] = ()
    configs: tuple[ConfigSeen, ...] = ()
    vms: tuple[VmSeen, ...] = ()
    audit: tuple[int, ...] = ()
    pools: tuple[tuple[str, tuple[str, ...]], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A rule that the history breaks.

    :param rule: name of the rule.
    :param detail: what broke it.
    """

    rule: str
    detail: str
