"""Answers, entries and lists that speak of an earlier time than they arrive."""

import asyncio

from verbenapost.scheduler.tests.scenarios import wait_for_leader


class TestListDuringAnOrder:
    """A VM was shown in its old pool for a second (issue 35)."""

    def test_a_list_requested_before_the_end_is_read_again(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            await asyncio.sleep(3)
            controller = leader.core._leader._controller
            controller._refresh_list = asyncio.Event().wait
            await asyncio.sleep(1)
            world.cloud.list_seconds = 0.5
            reading = asyncio.create_task(controller._read_list())
            await asyncio.sleep(0.1)
            controller._mark_stale()
            await reading
            return controller._needs_list(controller._listed_at)

        assert play(scenario, standby_vms=0)
