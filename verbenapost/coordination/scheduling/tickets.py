"""Tickets of the policies that decide where a step may run."""

import dataclasses
from collections.abc import Mapping
from typing import final

from verbenapost.state.workloads import TaskKey

Tickets = Mapping[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _StepName:
    job: str
    occurrence: int
    step: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Advice:
    tickets: Tickets
    until: float


class TicketBook:
    """Keeps each step's tickets until they lapse.

    Examples
    ========

    >>> book = TicketBook()
    >>> key = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)
    >>> book.put(key, {'i-1': 't'}, until=5)
    >>> book.find(key, now=4), book.find(key, now=5)
    ({'i-1': 't'}, None)
    """

    def __init__(self) -> None:
        self._found: dict[_StepName, _Advice] = {}

    def put(self, key: TaskKey, tickets: Tickets, until: float) -> None:
        """Keep the tickets of a task's step.

        :param tickets: ticket by identity of the worker.
        :param until: local seconds until which they hold.
        """
        self._found[_name_step(key)] = _Advice(tickets, until)

    def find(self, key: TaskKey, now: float) -> Tickets | None:
        """Return the tickets of a task's step while they hold."""
        found = self._found.get(_name_step(key))
        if found is None or now >= found.until:
            return None
        return found.tickets

    def drop(self, key: TaskKey) -> None:
        """Forget the tickets of a task's step."""
        self._found.pop(_name_step(key), None)


def _name_step(key: TaskKey) -> _StepName:
    return _StepName(key.job, key.occurrence, key.step)
