"""Messages between an entry and the leader."""

import dataclasses
from typing import Final, final

from verbenapost.protocol.codec import register_message

_ASK_ROOM: Final = 601
_ROOM: Final = 602
_ASK_STATE: Final = 603
_STATE: Final = 604
_ASK_PENDING: Final = 605
_PENDING: Final = 606


@final
@register_message(_ASK_ROOM)
@dataclasses.dataclass(frozen=True, slots=True)
class AskRoom:
    """Asks whether a job may be accepted.

    :param job: identity of the job.
    :param route: name of its route.
    :param service: service that runs it.
    :param task_cores: cores of all its tasks together.
    :param steps: steps of its longest chain.
    """

    job: str
    route: str
    service: str
    task_cores: float
    steps: int


@final
@register_message(_ROOM)
@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Answer to :class:`AskRoom`.

    :param accepted: whether there is room.
    :param known: whether the job was accepted before.
    :param retry_after: seconds after which there may be room.
    :param wait: seconds that the job is expected to wait.
    """

    accepted: bool
    known: bool = False
    retry_after: float = 0
    wait: float = 0


@final
@register_message(_ASK_STATE)
@dataclasses.dataclass(frozen=True, slots=True)
class AskState:
    """Asks for the state of a job."""

    job: str


@final
@register_message(_STATE)
@dataclasses.dataclass(frozen=True, slots=True)
class StateAnswer:
    """Answer to :class:`AskState`; empty when the job is not known."""

    state: str


@final
@register_message(_ASK_PENDING)
@dataclasses.dataclass(frozen=True, slots=True)
class AskPending:
    """Asks how many jobs of a route wait."""

    route: str


@final
@register_message(_PENDING)
@dataclasses.dataclass(frozen=True, slots=True)
class PendingAnswer:
    """Answer to :class:`AskPending`."""

    pending: int
