"""Planning of task starts: which waiting tasks start now, and where."""

import math
import sys
from collections.abc import Hashable, Iterable, Iterator

from verbenapost.coordination.scheduling.commands import StartTask
from verbenapost.coordination.scheduling.isolation import Isolation
from verbenapost.coordination.scheduling.jobs import (
    FULL_PACE,
    StepRun,
    Task,
    TaskState,
)
from verbenapost.coordination.scheduling.moment import Moment
from verbenapost.coordination.scheduling.partners import NO_PARTNERS, Partners
from verbenapost.coordination.scheduling.placement import (
    WorkerRanking,
    choose_gang_workers,
    filter_by_ticket,
    has_constraints,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.roundquota import RoundQuota
from verbenapost.coordination.scheduling.tickets import Tickets
from verbenapost.coordination.scheduling.workers import (
    Worker,
    compute_booking,
)
from verbenapost.state.resources import Resources


class StartPlanner:
    """Plans one round of starts in a pool.

    :param pool_state: state of the pool.
    :param moment: time of the round.
    """

    def __init__(self, pool_state: PoolState, moment: Moment) -> None:
        self._pool_state = pool_state
        self._moment = moment
        self._quota = RoundQuota(pool_state, moment)
        self._ready = [
            worker
            for worker in pool_state.workers.values()
            if worker.accepts_tasks(moment.now)
        ]
        self._isolation = Isolation(pool_state, self._ready)
        # Sizes for which no worker has capacity left in this round.
        self._unplaceable: list[Resources] = []

    def plan(self, limit: int = sys.maxsize) -> list[StartTask]:
        """Return the starts to order now; each one has been booked.

        :param limit: number of starts after which no further one is planned;
            a gang may exceed it, since its tasks start together.
        """
        commands: list[StartTask] = []
        self._pool_state.unplaced = []
        self._quota.prune_reservations()
        for step in self._arrange(self.find_waiting()):
            commands.extend(self._place_step(step, limit - len(commands)))
            if len(commands) >= limit:
                break
        self._pool_state.kept_workers = self._isolation.kept
        return commands

    def find_waiting(self) -> list[StepRun]:
        """Return the steps with startable tasks, most urgent first.

        Steps of tenants at their caps are left out.
        """
        waiting = self._pool_state.find_waiting_steps(self._moment.wall)
        found = self._quota.exclude_capped(waiting)
        found.sort(key=self._rank)
        return found

    def find_awaiting_advice(self) -> list[StepRun]:
        """Return the steps that wait for advice from their queue's policy."""
        return [
            step
            for step in self.find_waiting()
            if self._pool_state.find_route(step.job).advice is not None
            and self._find_tickets(step) is None
        ]

    def _arrange(self, steps: list[StepRun]) -> Iterable[StepRun]:
        self._isolation.sort(steps)
        return self._quota.arrange(steps, self._classify)

    def _classify(self, step: StepRun) -> Hashable:
        """Return the class of a step, within which tenants take turns."""
        urgency = self._rank(step)[:-1]
        return self._isolation.is_isolated(step.job), urgency

    def _find_tickets(self, step: StepRun) -> Tickets | None:
        return self._pool_state.tickets.find(
            step.tasks[0].key, self._moment.now
        )

    def _find_partners(self, step: StepRun) -> Partners:
        """Return the images beside which a step is not to be placed."""
        interference = self._pool_state.interference
        if interference is None:
            return NO_PARTNERS
        service = self._pool_state.service
        return interference.find_partners(service, step.spec.image)

    def _rank(self, step: StepRun) -> tuple[bool, int, bool, float]:
        job = step.job
        objective = self._pool_state.estimate_objective(job)
        arrived_at = step.find_arrival(self._moment)
        late = self._moment.now > arrived_at + objective
        route = self._pool_state.find_route(job)
        # A long-running job has to keep its tasks at any load.
        return (
            not job.long_running,
            route.priority,
            late and not job.long_running,
            arrived_at,
        )

    def _place_step(self, step: StepRun, limit: int) -> Iterator[StartTask]:
        tickets = self._find_tickets(step)
        advised = self._pool_state.find_route(step.job).advice is not None
        if advised and tickets is None:
            return
        waiting = self._find_startable(step)
        if not waiting:
            return
        if step.spec.gang:
            yield from self._place_gang(step, waiting, tickets)
        elif step.spec.long_running:
            yield from self._place_long_running(step, waiting[:limit], tickets)
        elif self._isolation.is_isolated(step.job):
            yield from self._place_isolated(step, waiting[:limit], tickets)
        else:
            yield from self._place_short(step, waiting[:limit], tickets)
        if self._needs_kept_worker(step):
            if step.spec.gang:
                self._isolation.keep_gang_workers(step, waiting, tickets)
            else:
                self._isolation.keep_worker(step, tickets)

    def _needs_kept_worker(self, step: StepRun) -> bool:
        if not self._isolation.is_isolated(step.job):
            return False
        return step.has_waiting() and self._quota.count_startable(step) > 0

    def _find_startable(self, step: StepRun) -> list[Task]:
        """Return the waiting tasks that the tenant's cap lets start."""
        waiting = [
            task for task in step.tasks if task.state is TaskState.WAITING
        ]
        startable = self._quota.count_startable(step)
        if startable >= len(waiting):
            return waiting
        for task in waiting[startable:]:
            self._pool_state.reservations.release(task)
        if step.spec.gang:
            self._quota.yield_to_gang(step)
            return []
        return waiting[:startable]

    def _place_isolated(
        self,
        step: StepRun,
        waiting: list[Task],
        tickets: Tickets | None,
    ) -> Iterator[StartTask]:
        workers = self._isolation.find_workers(step.job)
        ranking = WorkerRanking(
            step,
            workers,
            tickets,
            isolated=True,
            partners=self._find_partners(step),
        )
        for task in waiting:
            worker = ranking.pop_best()
            if worker is None:
                return
            yield self._start(step, task, worker, tickets)
            ranking.reinsert(worker)

    def _place_short(
        self,
        step: StepRun,
        waiting: list[Task],
        tickets: Tickets | None,
    ) -> Iterator[StartTask]:
        size = compute_booking(step.spec)
        if any(found.fits(size) for found in self._unplaceable):
            return
        workers = self._isolation.find_workers(step.job)
        ranking = WorkerRanking(
            step, workers, tickets, partners=self._find_partners(step)
        )
        for task in waiting:
            worker = ranking.pop_best()
            if worker is None:
                if tickets is None and not has_constraints(step):
                    self._unplaceable.append(size)
                return
            yield self._start(step, task, worker, tickets)
            ranking.reinsert(worker)

    def _place_long_running(
        self,
        step: StepRun,
        waiting: list[Task],
        tickets: Tickets | None,
    ) -> Iterator[StartTask]:
        """Place the tasks that fit; reserve capacity for the others."""
        reservations = self._pool_state.reservations
        previous = {task.key: reservations.release(task) for task in waiting}
        workers = self._isolation.find_workers(step.job)
        ranking = WorkerRanking(
            step, workers, tickets, partners=self._find_partners(step)
        )
        permitted = filter_by_ticket(workers, tickets)
        for placed, task in enumerate(waiting):
            worker = ranking.pop_best()
            if worker is None:
                unplaced = waiting[placed:]
                self._pool_state.unplaced.extend(unplaced)
                reservations.reserve_next(step, unplaced, permitted, previous)
                self._quota.note_reserved(unplaced)
                return
            yield self._start(step, task, worker, tickets)
            ranking.reinsert(worker)

    def _place_gang(
        self,
        step: StepRun,
        waiting: list[Task],
        tickets: Tickets | None,
    ) -> Iterator[StartTask]:
        if len(waiting) < len(step.tasks):
            # Members of the previous run have not ended yet.
            return
        workers = self._isolation.find_workers(step.job)
        chosen = choose_gang_workers(
            step, waiting, workers, tickets, self._find_partners(step)
        )
        if chosen is None:
            return
        run = max(task.run for task in waiting)
        checkpoint = max(task.checkpoint for task in waiting)
        for task, worker in zip(waiting, chosen, strict=True):
            task.run = run
            task.checkpoint = checkpoint
            yield self._start(step, task, worker, tickets)

    def _start(
        self,
        step: StepRun,
        task: Task,
        worker: Worker,
        tickets: Tickets | None,
    ) -> StartTask:
        name = worker.entry.worker
        task.state = TaskState.STARTING
        task.worker = name
        task.run = max(task.run + 1, self._pool_state.first_run_number)
        task.started_at = self._moment.now
        task.confirmed_at = math.inf
        task.proven = False
        task.stop_acknowledged = False
        task.stop_requested_at = -math.inf
        task.pace = FULL_PACE
        task.progress = 0
        task.load = 0
        worker.book(task)
        self._isolation.note_start(worker, step.job)
        if self._isolation.is_isolated(step.job):
            # The run is stored, in case that this leader is lost with it.
            self._pool_state.mark_changed(step.job)
        ticket = '' if tickets is None else tickets.get(name, '')
        return StartTask(name, task, task.run, step.job.spec.payload, ticket)
