"""Reports that list only some of a worker's ended runs, in virtual time."""

import asyncio
import dataclasses

import pytest

from standins.fleet.workers import FleetWorker
from verbenapost.protocol.orders import RunEndKind
from verbenapost.scheduler.tests.scenarios import (
    check_rules,
    name_job,
    wait_for_leader,
)

#: Ended runs that a worker lists at a time, as the platform states.
LISTED_ENDS = 500

#: Tasks that end at once on one worker, above :data:`LISTED_ENDS`.
TASKS = 700

STEPS = [{'count': TASKS, 'cpu': 10, 'mem_mb': 10}]


@pytest.fixture
def report_pages(monkeypatch):
    """Let workers list their ended runs 500 at a time."""
    report_all = FleetWorker.report

    def report(worker):
        found = report_all(worker)
        return dataclasses.replace(found, ends=found.ends[:LISTED_ENDS])

    monkeypatch.setattr(FleetWorker, 'report', report)


def end_at_once(world, seconds):
    """Let all runs end as done at one moment, and one run shortly before.

    While the end of this one is stored, time passes between two reports.
    """

    def draw(_worker, task):
        end = seconds if task.job == name_job(1) else seconds - 0.2
        return end - world.now(), RunEndKind.DONE

    world.draw_run = draw


@pytest.mark.usefixtures('report_pages')
class TestMoreEndsThanAReportLists:
    """A task whose end is not listed yet is done and must not start again."""

    def test_under_one_leader(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            end_at_once(world, world.now() + 3)
            await world.submit(name_job(2), [{'count': 1, 'cpu': 10}])
            await world.submit(name_job(1), STEPS)
            await asyncio.sleep(6)
            return check_rules(world)

        assert play(scenario, workers=1, standby_vms=0) == []

    def test_after_a_takeover(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            end_at_once(world, world.now() + 3)
            await world.submit(name_job(1), STEPS)
            await asyncio.sleep(2.5)
            await leader.kill()
            await asyncio.sleep(6)
            return check_rules(world)

        assert play(scenario, workers=1, standby_vms=0) == []
