"""Tickets from the policies that decide where a step may run."""

import dataclasses
from collections.abc import Mapping
from typing import final

from verbenapost.state.workloads import TaskKey

Tickets = Mapping[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _StepKey:
    job: str
    occurrence: int
    step: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _StepTickets:
    tickets: Tickets
    until: float


class TicketCache:
    """Caches each step's tickets until they expire.

    Examples
    ========

    >>> cache = TicketCache()
    >>> key = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)
    >>> cache.put(key, {'i-1': 't'}, until=5)
    >>> cache.find(key, now=4), cache.find(key, now=5)
    ({'i-1': 't'}, None)
    """

    def __init__(self) -> None:
        self._tickets: dict[_StepKey, _StepTickets] = {}

    def put(self, key: TaskKey, tickets: Tickets, until: float) -> None:
        """Store the tickets of a task's step.

        :param key: key of any task of the step.
        :param tickets: tickets by identity of the worker.
        :param until: local seconds at which the tickets expire.
        """
        self._tickets[_make_step_key(key)] = _StepTickets(tickets, until)

    def find(self, key: TaskKey, now: float) -> Tickets | None:
        """Return the valid tickets of a task's step, or ``None``."""
        found = self._tickets.get(_make_step_key(key))
        if found is None or now >= found.until:
            return None
        return found.tickets

    def drop(self, key: TaskKey) -> None:
        """Remove the tickets of a task's step."""
        self._tickets.pop(_make_step_key(key), None)


def _make_step_key(key: TaskKey) -> _StepKey:
    return _StepKey(key.job, key.occurrence, key.step)
