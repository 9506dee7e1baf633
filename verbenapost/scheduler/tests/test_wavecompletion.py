"""A wave was shown as completed without one of its VMs (issue 38, MIXED)."""

import asyncio
import json

import pytest

from verbenapost.scheduler.keys import make_wave_removed_key
from verbenapost.scheduler.tests.scenarios import wait_for_leader
from verbenapost.scheduler.tests.wavestates import (
    STATUS_KEY,
    find_completed,
    find_pool_vms,
    follow_states,
    list_since_completion,
)


class TestUnlistedVm:
    """Absence from the list of VMs was taken for the removal of the VM."""

    @pytest.mark.parametrize('seconds', [2.5, 6])
    def test_a_vm_that_is_listed_again_is_maintained(self, play, seconds):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            await asyncio.sleep(3)
            world.cloud.hide(vms[0], seconds)
            await asyncio.sleep(1)
            world.request_wave(1, vms[:1], duration=20, cap=1)
            await asyncio.sleep(25)
            return find_completed(states)

        assert play(scenario, standby_vms=1) == [{'vm-w0'}]

    def test_a_vm_that_a_new_leader_has_never_seen_is_maintained(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.request_wave(1, vms, duration=30, cap=1)
            await asyncio.sleep(3)
            world.cloud.hide(vms[-1], 12)
            await leader.kill()
            await asyncio.sleep(40)
            return find_completed(states)[:1] == [set(vms)]

        assert play(scenario, standby_vms=1)

    def test_a_vm_that_was_removed_is_not_waited_for(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.request_wave(1, vms, duration=20, cap=1)
            world.cloud.remove(vms[-1])
            await asyncio.sleep(25)
            return find_completed(states) == [set(vms[:-1])]

        assert play(scenario, standby_vms=1)

    def test_a_vm_that_never_existed_is_not_waited_for(self, play):
        async def scenario(world):
            await wait_for_leader(world)
            states = follow_states(world)
            world.request_wave(1, ['vm-w0', 'vm-none'], duration=20, cap=1)
            await asyncio.sleep(20)
            return find_completed(states)

        assert play(scenario, standby_vms=1) == [{'vm-w0'}]

    def test_a_new_leader_knows_of_a_removal(self, play):
        """Its reads of the list alone don't show what happened before."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.request_wave(1, vms, duration=60, cap=1)
            gone = vms[-1]
            world.cloud.remove(gone)
            key = make_wave_removed_key(1)
            for _ in range(400):
                await asyncio.sleep(0.05)
                stored = world.store.items.get(key)
                if stored is not None and gone in json.loads(stored.value):
                    break
            begun = len(world.cloud.maintained)
            orders = []
            maintain = world.cloud.maintain

            def note_order(vm, wave, token):
                orders.append(vm)
                return maintain(vm, wave, token)

            world.cloud.maintain = note_order
            await leader.kill()
            await asyncio.sleep(50)
            completed = find_completed(states)
            return begun, completed == [set(vms) - {gone}], gone in orders

        begun, completed, ordered_again = play(
            scenario, standby_vms=1, workers=8
        )
        assert begun < 7
        assert (completed, ordered_again) == (True, False)


class TestChangedRequest:
    """The first request was remembered, and a later one ignored."""

    @pytest.mark.parametrize('delay', [0.5, 15])
    def test_an_added_vm_is_maintained(self, play, delay):
        async def scenario(world):
            await wait_for_leader(world)
            vms = find_pool_vms(world)
            world.request_wave(1, vms[:1], duration=20, cap=1)
            await asyncio.sleep(delay)
            world.request_wave(1, vms[:3], duration=20, cap=1)
            states = follow_states(world)
            await asyncio.sleep(25)
            return find_completed(states)[-1:] == [set(vms[:3])]

        assert play(scenario, standby_vms=1)

    def test_a_vm_added_while_nobody_leads_is_maintained(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            world.request_wave(1, vms[:1], duration=20, cap=1)
            await asyncio.sleep(15)
            await leader.kill()
            world.request_wave(1, vms[:3], duration=20, cap=1)
            states = follow_states(world)
            await asyncio.sleep(30)
            names = [state for state, _ in states]
            return names[0], find_completed(states)

        found = play(scenario, standby_vms=1)
        assert found == ('running', [{'vm-w0', 'vm-w1', 'vm-w2'}])


class TestStoredState:
    """A completed wave was shown as running again."""

    def test_a_new_leader_leaves_a_completed_wave_as_it_is(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            world.request_wave(1, vms, duration=20, cap=4)
            await asyncio.sleep(15)
            await leader.kill()
            await asyncio.sleep(15)
            return list_since_completion(states)

        assert play(scenario, standby_vms=1) == ['completed']

    def test_a_late_record_does_not_reopen_a_completed_wave(self, play):
        """One of several records reaches the store after the completion."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            states = follow_states(world)
            commit = leader.store.commit
            records = []

            async def delay_fourth(transaction):
                if STATUS_KEY in {row.key for row in transaction.writes}:
                    records.append(transaction)
                    await asyncio.sleep(8 if len(records) == 4 else 0)
                return await commit(transaction)

            leader.store.commit = delay_fourth
            world.request_wave(1, vms, duration=20, cap=4)
            await asyncio.sleep(25)
            return list_since_completion(states)

        assert play(scenario, standby_vms=1) == ['completed']

    def test_orders_that_are_confirmed_together_are_all_stored(self, play):
        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = find_pool_vms(world)
            refused = []
            commit = leader.store.commit

            async def count_conflicts(transaction):
                answer = await commit(transaction)
                keys = {row.key for row in transaction.writes}
                if STATUS_KEY in keys and answer.is_err():
                    refused.append(transaction)
                return answer

            leader.store.commit = count_conflicts
            world.request_wave(1, vms, duration=20, cap=len(vms))
            await asyncio.sleep(20)
            return refused

        assert play(scenario, standby_vms=4, workers=12) == []
