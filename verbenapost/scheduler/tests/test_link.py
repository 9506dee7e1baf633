"""A link to a worker that falls silent."""

import asyncio

from result import Err, Ok

from verbenapost.coordination.scheduling.jobs import TaskState
from verbenapost.coordination.scheduling.tests.sample import (
    SMALL,
    add_job,
    make_board,
    make_row,
    plan,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.orders import CallFault, Fault, WorkerReport
from verbenapost.scheduler import link as link_module
from verbenapost.scheduler.link import LinkPorts, WorkerLink
from verbenapost.scheduler.metrics import SchedulerMetrics
from verbenapost.state.workloads import StepSpec

HOLD_SECONDS = 6


class Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


class FakeWorker:
    """Answers holds while it is up; notes the leases that it is sent."""

    def __init__(self, clock):
        self.clock = clock
        self.up = True
        self.running = []
        self.leases = []

    async def hold(self, _worker, _token, _seen, deadline, _wait):
        self.clock.now += 0.5
        self.leases.append(deadline)
        if not self.up:
            return Err(CallFault(Fault.UNKNOWN, 'silent'))
        return Ok(WorkerReport(round(self.clock.now * 1000), self.running, []))


class Election:
    token = 1

    def holds(self):
        return True


class Recorder:
    def mark(self, _jobs):
        return []


def make_link(clock, monkeypatch):
    monkeypatch.setattr(link_module, 'read_clock', clock.read)
    board = make_board()
    client = FakeWorker(clock)
    ports = LinkPorts(
        client,
        Election(),
        Recorder(),
        HOLD_SECONDS,
        lambda: None,
        SchedulerMetrics(),
        lambda _board, _commands: None,
        make_logger('worker'),
    )
    link = WorkerLink(board.workers['w0'], board, ports)
    return board, client, link


class TestSilentWorker:
    async def run_silence(self, monkeypatch, seconds):
        clock = Clock()
        board, client, link = make_link(clock, monkeypatch)
        add_job(board, StepSpec(1, SMALL))
        await link.hold_once(0)
        (start,) = plan(board, now=clock.now)
        board.note_started(start.task, start.run, clock.now)
        client.running = [make_row(start)]
        await link.hold_once(0)
        client.up = False
        until = clock.now + seconds
        while clock.now < until:
            await link.hold_once(0)
        return start.task, client

    def test_its_tasks_wait_for_its_leases(self, monkeypatch):
        task, _ = asyncio.run(self.run_silence(monkeypatch, 5))
        assert task.state is TaskState.RUNNING

    def test_tries_to_reach_it_do_not_extend_them(self, monkeypatch):
        task, client = asyncio.run(self.run_silence(monkeypatch, 8))
        assert task.state is TaskState.WAITING
        assert client.leases[-1] is None
