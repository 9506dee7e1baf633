"""The leader, which plans jobs and sends orders to workers."""

import asyncio
from typing import Any, Final

from result import Err

from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.scheduler.admission import Admission
from verbenapost.scheduler.advisor import Advisor
from verbenapost.scheduler.cleanup import Cleanup
from verbenapost.scheduler.controller import FleetController
from verbenapost.scheduler.fleet import WorkerFleet
from verbenapost.scheduler.follower import PrefixFollower
from verbenapost.scheduler.intake import JobIntake
from verbenapost.scheduler.keys import PROGRESS_PREFIX, SUBMITTED_PREFIX
from verbenapost.scheduler.messages import AdmissionRequest, AdmissionResponse
from verbenapost.scheduler.planningrounds import PlanningRounds
from verbenapost.scheduler.poolstates import PoolStateSet
from verbenapost.scheduler.ports import LeaderPorts, LinkPorts
from verbenapost.scheduler.recorder import Recorder
from verbenapost.scheduler.tasks import TaskSet

#: Seconds between two planning rounds while there are no events.
ROUND_SECONDS: Final = 0.1

#: Shortest time between two rounds in seconds, so that one round covers many
#: ended runs.
MIN_ROUND_GAP: Final = 0.01

#: Fraction of the time that rounds may use; the rest is for sending the orders.
MAX_ROUND_SHARE: Final = 0.2

#: Seconds by which a count of pending jobs may be out of date.
MAX_PENDING_AGE: Final = 2.0

#: Seconds between two attempts to read the store at takeover.
RETRY_SECONDS: Final = 0.2


class Leader:
    """Leads from a takeover until the loss of the leadership.

    :param ports: dependencies of the leader.
    :ivar ready: whether the takeover is complete.
    :ivar jobs: all known jobs.
    """

    def __init__(self, ports: LeaderPorts) -> None:
        self.ready = False
        self._ports = ports
        self._log = make_logger('leader')
        self._watch = ports.watch_interference()
        interference = None
        if self._watch is not None:
            interference = self._watch.interference
        self._pool_states = PoolStateSet(
            ports.election.token, ports.configuration.find_tenant, interference
        )
        self._started_at = read_clock()
        self._longest_lease = ports.settings.bounds.hold_seconds
        self._wake = asyncio.Event()
        self._submitted: PrefixFollower | None = None
        self._tasks = TaskSet(self._give_up)
        self._window = OrderWindow()

        def send(pool_state: Any, commands: Any) -> None:
            # The fleet is created after the objects that send through it.
            self._fleet.send(pool_state, commands)

        self.jobs = JobIntake(
            self._pool_states, ports.configuration, send, make_logger('jobs')
        )
        self._recorder = Recorder(
            ports.store,
            ports.election,
            self.jobs.find_job,
            make_logger('recorder'),
        )
        self._fleet = WorkerFleet(
            self._pool_states,
            ports.configuration,
            LinkPorts(
                ports.workers,
                ports.election,
                self._recorder,
                ports.settings.bounds.hold_seconds,
                self._wake.set,
                ports.metrics,
                self._window,
                send,
                make_logger('worker'),
                self._watch,
            ),
            ports.store,
            self._give_up,
            make_logger('fleet'),
        )
        self._controller: FleetController | None = None
        if ports.cloud is not None:
            self._controller = FleetController(
                ports,
                ports.cloud,
                self._pool_states,
                self._fleet,
                make_logger('keeper'),
            )
        self._admission = Admission(
            ports.configuration,
            self._pool_states,
            self._controller,
            self._window,
            self._log,
        )
        self._rounds = PlanningRounds(
            ports,
            self._pool_states,
            self._fleet,
            self._recorder,
            self._controller,
            self._window,
            self._started_at,
            self._log,
        )

    async def run(self) -> None:
        """Take over and lead until the leadership is lost."""
        try:
            await self._take_over()
            while self._ports.election.leads:
                if self._ports.election.holds_lease():
                    self._run_round()
                await self._wait_for_work()
        finally:
            await self.close()

    async def close(self) -> None:
        """Cancel all tasks without a handover."""
        self.ready = False
        await self._fleet.tasks.close()
        await self._tasks.close()
        if self._watch is not None:
            self._watch.close()

    async def hand_over(self) -> None:
        """Write all pending records before the leadership is given up."""
        await self._recorder.flush()

    def count_pending(self, route: str) -> int | None:
        """Return how many jobs of a route have not started.

        :returns: the number, or ``None`` while the store doesn't show this
            leader which jobs were accepted lately.
        """
        submitted = self._submitted
        if submitted is None:
            return None
        if read_clock() - submitted.fresh_at > MAX_PENDING_AGE:
            return None
        return self._pool_states.count_pending(route)

    def check_admission(self, request: AdmissionRequest) -> AdmissionResponse:
        """Return whether a job may be accepted now."""
        if request.job in self.jobs:
            return AdmissionResponse(accepted=True, known=True)
        return self._admission.check(request)

    async def _take_over(self) -> None:
        token = self._ports.election.token
        self._log.info('takeover begins', term=token)
        self._ports.metrics.takeovers.inc({})
        await self._ports.configuration.known.wait()
        await asyncio.gather(self._fleet.record.load(), self._read_progress())
        self.jobs.inheriting = token > 1
        if self._controller is not None:
            self.jobs.notify = self._admission.note_job
        self._add_essential(self._recorder.run())
        self._add_essential(self._fleet.record.run())
        self._tasks.add(
            self._fleet.record.trim(self._find_shown_vms, self._longest_lease)
        )
        self._submitted = await self._follow(
            SUBMITTED_PREFIX, self.jobs.apply_change
        )
        await self._follow(WORKER_PREFIX, self._fleet.apply_change)
        self.jobs.inheriting = False
        self.ready = True
        if self._controller is not None:
            self._tasks.add(self._controller.run())
        self._start_advisor()
        self._start_cleanup()
        status = self._admission.make_status(self._ports.metrics)
        self._tasks.add(status.run())
        self._log.info(
            'takeover read',
            jobs=len(self.jobs),
            workers=self._fleet.count_live(),
            seconds=round(read_clock() - self._started_at, 3),
        )

    def _start_cleanup(self) -> None:
        cleanup = Cleanup(
            self._ports.store,
            self._ports.election,
            self.jobs,
            self._ports.settings.bounds.status_s,
            make_logger('cleanup'),
        )
        self._tasks.add(cleanup.run())

    def _start_advisor(self) -> None:
        if self._ports.advice is None:
            return
        advisor = Advisor(
            self._ports.advice,
            self._pool_states,
            self._ports.election,
            self._wake.set,
            make_logger('advice'),
        )
        self._tasks.add(advisor.run())

    async def _read_progress(self) -> None:
        while self._ports.election.leads:
            page = await self._ports.store.read_range(PROGRESS_PREFIX)
            if not isinstance(page, Err):
                stored = page.ok_value.items
                self.jobs.load_progress({item.key: item for item in stored})
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _find_shown_vms(self) -> set[str]:
        """Return the VMs that may run tasks or are listed."""
        shown = self._fleet.find_vms()
        if self._controller is not None:
            shown |= self._controller.find_listed_vms()
        return shown

    async def _follow(self, prefix: str, apply: Any) -> PrefixFollower:
        def notify(change: Any) -> None:
            apply(change)
            self._wake.set()

        follower = PrefixFollower(self._ports.store, prefix, notify, self._log)
        following = self._add_essential(follower.run())
        listed = self._tasks.add(follower.listed.wait())
        await asyncio.wait(
            (following, listed), return_when=asyncio.FIRST_COMPLETED
        )
        if not listed.done():
            # A takeover that can't read the store must fail, not wait.
            following.result()
        return follower

    def _add_essential(self, work: Any) -> asyncio.Task[Any]:
        """Start a task without which this daemon must not lead.

        :param work: coroutine of the task.
        """
        task = self._tasks.add(work)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled():
            self._ports.election.lose('a task of the leader has ended')

    def _give_up(self, fault: BaseException) -> None:
        """Give up the leadership, since a task of the leader has failed.

        What the task would have done is missing from then on, while the lease
        would be renewed. A successor starts all tasks again.
        """
        self._ports.election.lose(f'a task of the leader has failed: {fault!r}')

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(ROUND_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(
            max(MIN_ROUND_GAP, self._rounds.round_seconds / MAX_ROUND_SHARE)
        )

    def _run_round(self) -> None:
        self._wake.clear()
        self._rounds.run()
