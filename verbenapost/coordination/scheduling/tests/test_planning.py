"""Planning while far more waits than the pool can take.

The load: a turn of a queue of 180 VMs brings some hundred jobs at once.
"""

import collections

import pytest

from verbenapost.coordination.scheduling.admission import (
    WaitBook,
    estimate_wait,
)
from verbenapost.coordination.scheduling.tests.sample import (
    add_job,
    make_board,
    make_entry,
    plan,
)
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.state.workloads import Size, StepSpec

VMS = 180
JOBS = 300
WIDTH = 8
TASK = Size(1500, 4400)


@pytest.fixture
def looks(monkeypatch):
    """Count how often a worker is asked whether it has room."""
    counted = collections.Counter()
    has_room = Worker.has_room

    def count(worker, size):
        counted['looks'] += 1
        return has_room(worker, size)

    monkeypatch.setattr(Worker, 'has_room', count)
    return counted


def make_flood():
    board = make_board(
        *(make_entry(f'w{row}', room=Size(16000, 65536)) for row in range(VMS))
    )
    for number in range(JOBS):
        add_job(board, StepSpec(WIDTH, TASK), job=f'{number:016x}')
    return board


class TestFlood:
    def test_the_pool_is_filled(self):
        assert len(plan(make_flood())) == VMS * 10

    def test_a_worker_is_looked_at_once_a_step_and_once_a_task(self, looks):
        board = make_flood()
        starts = len(plan(board))
        steps = starts // WIDTH + 1
        assert looks['looks'] <= steps * VMS + starts

    def test_what_finds_no_room_is_not_tried_again_in_a_round(self, looks):
        board = make_flood()
        plan(board)
        looks.clear()
        assert plan(board) == []
        assert looks['looks'] == VMS

    def test_smaller_tasks_still_find_room_behind_larger_ones(self):
        board = make_flood()
        plan(board)
        add_job(board, StepSpec(1, Size(500, 100)), job='f' * 16)
        assert [row.task.key.job for row in plan(board)] == ['f' * 16]

    def test_a_burst_of_questions_is_answered_by_one_estimate(self):
        board = make_flood()
        book = WaitBook(lifetime=0.03)
        first = book.find(board, 0, now=0)
        plan(board)
        assert book.find(board, 0, now=0.02) == first
        assert book.find(board, 0, now=0.05) == estimate_wait(board, 0, 0.05)
