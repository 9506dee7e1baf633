"""A link to a fake worker, with a clock that a test advances."""

import asyncio

from result import Err, Ok

from verbenapost.coordination.scheduling.orderwindow import OrderWindow
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    make_pool_state,
    plan,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    RunEnd,
    RunEndKind,
    WorkerReport,
)
from verbenapost.scheduler import link as link_module
from verbenapost.scheduler import runorders as runorders_module
from verbenapost.scheduler import workerreports as workerreports_module
from verbenapost.scheduler.link import WorkerLink
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.state.workloads import StepSpec

HOLD_SECONDS = 6

#: Seconds until a call is answered, and until one without an answer fails.
ANSWER_SECONDS = 0.1
SILENT_SECONDS = 0.5


class Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


class FakeWorker:
    """Answers lease renewals while it is up and records their deadlines.

    :ivar started_at_ms: start of its incarnation, as its entry shows it.
    :ivar transit: seconds for which each answer is on its way.
    """

    def __init__(self, clock):
        self.clock = clock
        self.up = True
        self.started_at_ms = 1
        self.transit = 0
        self._origin = 0
        self.running = []
        self.ends = []
        self.leases = []
        self.seen = []

    def read_clock(self):
        return round((self.clock.now - self._origin) * 1000)

    def restart(self):
        """Start again under the same identity, with a clock that starts anew.

        The clock of an incarnation starts at 5000.
        """
        self.started_at_ms += 1
        self._origin = self.clock.now - 5
        self.running = []
        self.ends = []

    async def stop(self, _worker, _task, _run, _token):
        return Ok(self.read_clock())

    async def hold(self, _worker, _token, seen, deadline, _wait):
        self.leases.append(deadline)
        self.seen.append(seen)
        self.clock.now += ANSWER_SECONDS if self.up else SILENT_SECONDS
        if not self.up:
            return Err(CallFault(CallFaultKind.UNKNOWN, 'silent'))
        ends = [end for end in self.ends if end.number > seen]
        report = WorkerReport(
            self.read_clock(), self.running, ends, self.started_at_ms
        )
        self.clock.now += self.transit
        return Ok(report)


class Election:
    token = 1
    valid = True

    def holds_lease(self):
        return self.valid

    def lose(self, reason):
        raise AssertionError(reason)


class Recorder:
    """Collects writes until a test sets their outcome."""

    def __init__(self):
        self.waiting = []

    def mark_dirty(self, jobs):
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in jobs]
        self.waiting.extend(futures)
        return futures


def make_link(clock, monkeypatch, recorder=None):
    monkeypatch.setattr(link_module, 'read_clock', clock.read)
    monkeypatch.setattr(runorders_module, 'read_clock', clock.read)
    monkeypatch.setattr(workerreports_module, 'read_clock', clock.read)
    pool_state = make_pool_state()
    client = FakeWorker(clock)
    ports = LinkPorts(
        client,
        Election(),
        recorder or Recorder(),
        HOLD_SECONDS,
        lambda: None,
        SchedulerMetrics(),
        OrderWindow(),
        lambda _pool_state, _commands: None,
        make_logger('worker'),
    )
    link = WorkerLink(pool_state.workers['w0'], pool_state, ports)
    return pool_state, client, link


async def start_task(clock, pool_state, link):
    """Start the only task of a job, as if its worker had answered."""
    add_job(pool_state, StepSpec(1, SMALL))
    await link.renew_leases(0)
    (start,) = plan(pool_state, now=clock.now)
    pool_state.note_started(start.task, start.run, clock.now)
    return start


async def acknowledge_end(monkeypatch):
    """Return a link that has acknowledged its worker's first end."""
    clock = Clock()
    pool_state, client, link = make_link(clock, monkeypatch)
    start = await start_task(clock, pool_state, link)
    end = RunEnd(1, start.task.key, start.run, RunEndKind.FAILED, '')
    client.ends.append(end)
    renewal = asyncio.create_task(link.renew_leases(0))
    await asyncio.sleep(0)
    for waiting in link.ports.recorder.waiting:
        waiting.set_result(True)
    await renewal
    await link.renew_leases(0)
    assert client.seen[-1] == 1
    return clock, client, link
