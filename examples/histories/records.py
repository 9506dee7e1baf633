"""Records of a history, which the rules check.

All times are Unix seconds of one machine.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to a daemon.

    :param number: unique number of the sent request.
    :param tag: last segment of the path; repeats of a key share the tag.
    :param key: idempotency key, empty for none.
    :param service: service that was called.
    :param entry: daemon that received the request.
    :param idempotent: whether the configuration declares the route idempotent.
    :param probed_at: start of the last probe that found the daemon ready.
    :param body_bytes: size of the body.
    :param answer_bytes: requested least size of the answer.
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
class AnswerContent:
    """Fields and size of the answer of a target.

    :param tag: tag of the request that the target ran.
    :param request_id: identifier of the request that the target ran.
    :param received: size of the received request body in bytes.
    :param size: size of the answer in bytes.
    :param text_size: size of the answer without its padding in bytes.
    """

    tag: str
    request_id: str
    received: int
    size: int
    text_size: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """A complete HTTP answer.

    :param number: number of the sent request.
    :param request_id: from the header, or from the problem document.
    :param kind: kind of the error, empty for a target's answer.
    :param outcome: outcome in the problem, empty for a target's answer.
    :param content: content of a target's answer; ``None`` when unreadable.
    """

    number: int
    at: float
    status: int
    request_id: str
    kind: str = ''
    outcome: str = ''
    content: AnswerContent | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """A connection that ended without a complete answer.

    :param number: number of the sent request.
    """

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
class InjectedFault:
    """A fault that was injected.

    :param kind: name of the fault.
    :param victim: process or VM with the fault.
    :param at: start of the fault.
    :param until: end of the fault.
    """

    kind: str
    victim: str
    at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """A configuration change that an operator requested.

    :param number: unique number of the change, part of its audit reason.
    :param at: time of the answer.
    :param base: revision that was changed.
    :param revision: new revision; 0 when the change was not accepted.
    :param outcome: ``accepted``, ``not_run`` or ``unknown``.
    """

    number: int
    at: float
    base: int
    revision: int
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigObservation:
    """Revision that a ready daemon reported as in force.

    :param at: time of the query.
    """

    entry: str
    at: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmObservation:
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
    """All records of one scenario.

    :param pools: pools that may run each service, its own pool first.
    :param audit: numbers of the changes in the audit trail, in order.
    """

    sent: tuple[SentRequest, ...] = ()
    answered: tuple[ReceivedAnswer, ...] = ()
    disconnects: tuple[Disconnect, ...] = ()
    runs: tuple[Run, ...] = ()
    injected_faults: tuple[InjectedFault, ...] = ()
    changes: tuple[ConfigChange, ...] = ()
    configs: tuple[ConfigObservation, ...] = ()
    vms: tuple[VmObservation, ...] = ()
    audit: tuple[int, ...] = ()
    pools: tuple[tuple[str, tuple[str, ...]], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule by a history.

    :param rule: name of the rule.
    :param detail: description of the violation.
    """

    rule: str
    detail: str
