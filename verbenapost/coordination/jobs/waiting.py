"""Queue of waiting jobs, by urgency and team."""

from collections import deque
from collections.abc import Collection, Mapping
from typing import final


@final
class WaitingQueue:
    """Jobs that wait for a worker.

    Adding a job, removing one and finding the first job of a team take
    amortized constant time: a removed job stays in its queue until it reaches
    the head and is dropped there.

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
        self._queue_keys: dict[str, tuple[int, str]] = {}
        self._queues: dict[int, dict[str, deque[str]]] = {}

    def __contains__(self, job: str) -> bool:
        """Return whether a job waits."""
        return job in self._queue_keys

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._queue_keys)

    @property
    def levels(self) -> list[int]:
        """Urgencies of the queued jobs, most urgent first."""
        return sorted(self._queues)

    def add(
        self,
        job: str,
        urgency: int,
        team: str,
        *,
        first: bool = False,
    ) -> None:
        """Add a job unless it waits already.

        :param job: identity of the job.
        :param urgency: urgency of the job.
        :param team: team of the job.
        :param first: whether to add the job before the other jobs of its team
            and urgency.
        """
        if job in self._queue_keys:
            return
        self._queue_keys[job] = (urgency, team)
        queue = self._queues.setdefault(urgency, {}).setdefault(team, deque())
        if first:
            queue.appendleft(job)
        else:
            queue.append(job)

    def remove(self, job: str) -> None:
        """Remove a job from the queue."""
        self._queue_keys.pop(job, None)

    def find_next(
        self,
        urgency: int,
        usage: Mapping[str, float],
        skipped: Collection[str],
    ) -> tuple[str, str] | None:
        """Return the team that uses the fewest processors, and its first job.

        :param urgency: urgency of the jobs to consider.
        :param usage: processors in use by team.
        :param skipped: teams to leave out.
        """
        teams = self._queues.get(urgency, {})
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
        """Drop removed jobs from the head; return whether any job is left."""
        teams = self._queues[urgency]
        queue = teams[team]
        while queue and self._queue_keys.get(queue[0]) != (urgency, team):
            queue.popleft()
        if not queue:
            teams.pop(team)
        return bool(queue)
