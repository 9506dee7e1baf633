"""Waiting jobs by urgency and team."""

from collections import deque
from collections.abc import Collection, Mapping
from typing import final


@final
class WaitingQueue:
    """Jobs that wait for a worker.

    Adding, removing and finding the first of a team take constant time,
    spread over the calls: removed jobs are skipped when they come up.

    Examples
    ========

    >>> queue = WaitingQueue()
    >>> queue.add('a', 3, 'shop')
    >>> queue.add('b', 0, 'shop')
    >>> queue.levels
    [0, 3]
    >>> queue.find_next(0, {}, ())
    ('shop', 'b')
    """

    def __init__(self) -> None:
        self._places: dict[str, tuple[int, str]] = {}
        self._rows: dict[int, dict[str, deque[str]]] = {}

    def __contains__(self, job: str) -> bool:
        """Tell whether a job waits."""
        return job in self._places

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._places)

    @property
    def levels(self) -> list[int]:
        """Urgencies of the queue's rows, the most urgent first."""
        return sorted(self._rows)

    def add(
        self,
        job: str,
        urgency: int,
        team: str,
        *,
        first: bool = False,
    ) -> None:
        """Let a job wait.

        :param first: before the other jobs of its team and urgency.
        """
        if job in self._places:
            return
        self._places[job] = (urgency, team)
        row = self._rows.setdefault(urgency, {}).setdefault(team, deque())
        if first:
            row.appendleft(job)
        else:
            row.append(job)

    def remove(self, job: str) -> None:
        """Let a job wait no more."""
        self._places.pop(job, None)

    def find_next(
        self,
        urgency: int,
        usage: Mapping[str, float],
        skipped: Collection[str],
    ) -> tuple[str, str] | None:
        """Return team and job of the team that uses least.

        :param usage: processors in use by team.
        :param skipped: teams that are not to be found.
        """
        teams = self._rows.get(urgency, {})
        waiting = [
            team
            for team in tuple(teams)
            if team not in skipped and self._trim(urgency, team)
        ]
        if not waiting:
            return None
        team = min(waiting, key=lambda name: (usage.get(name, 0), name))
        return team, teams[team][0]

    def _trim(self, urgency: int, team: str) -> bool:
        """Drop removed jobs from the head and tell whether any are left."""
        teams = self._rows[urgency]
        row = teams[team]
        while row and self._places.get(row[0]) != (urgency, team):
            row.popleft()
        if not row:
            teams.pop(team)
        return bool(row)
