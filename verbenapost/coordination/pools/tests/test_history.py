"""The history checker finds the faults of made-up bad histories."""

import dataclasses

import pytest

from verbenapost.coordination.pools.tests.history import (
    History,
    find_bad_calls,
    find_mixed_service,
)
from verbenapost.coordination.pools.tests.simulation import Change, make_policy
from verbenapost.state.budgets import BudgetRecord, Grant, pack_budget
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmRecord, VmState, pack_vm

BUDGET = AvailabilityBudget(2, 1, FailureDomain.VM)


class Script:
    """Builds a history; three VMs in service to begin with."""

    def __init__(self):
        self.changes = []
        self.vms = {}
        for number in range(3):
            self.write_vm(VmRecord(f'vm{number}', '', 'pool0'))

    def write_vm(self, vm):
        self.vms[vm.name] = vm
        self._add(f'vm/{vm.name}', pack_vm(vm))

    def change(self, name, **fields):
        self.write_vm(dataclasses.replace(self.vms[name], **fields))

    def grant(self, *names, read_revision=None):
        grants = [Grant(name, 'maintenance', 0, 'k', 1) for name in names]
        value = pack_budget(BudgetRecord(tuple(grants)))
        self._add('budget/svc-pool0', value, read_revision)

    def check(self):
        return History(make_policy(budget=BUDGET)).replay(self.changes)

    def _add(self, key, value, read_revision=None):
        revision = len(self.changes) + 1
        read = revision - 1 if read_revision is None else read_revision
        self.changes.append(Change(0, revision, key, value, 'k', read))


@pytest.fixture
def script():
    return Script()


class TestHistory:
    def test_good_history(self, script):
        script.grant('vm0')
        script.change('vm0', state=VmState.DRAINING, reason='maintenance')
        script.change('vm0', state=VmState.IN_MAINTENANCE)
        script.change('vm0', state=VmState.RETURNING)
        script.change('vm0', state=VmState.IN_SERVICE, reason='')
        script.grant()
        assert not script.check()

    def test_ungranted_outage(self, script):
        script.change('vm0', state=VmState.DRAINING, reason='maintenance')
        assert 'ungranted' in script.check()[0]

    def test_uncounted_outage(self, script):
        script.grant('vm0')
        script.change('vm0', state=VmState.DRAINING, reason='maintenance')
        script.grant()
        assert 'uncounted' in script.check()[0]

    def test_overdrawn_budget(self, script):
        script.grant('vm0', 'vm1')
        assert 'planned out' in script.check()[0]

    def test_pool_changed_without_a_reboot(self, script):
        script.change('vm0', pool='pool1', epoch=1)
        assert 'only after the reboot' in script.check()[0]

    def test_planned_work_after_a_known_failure(self, script):
        script.change('vm1', state=VmState.FAILED)
        script.grant('vm0')
        script.change('vm0', state=VmState.DRAINING, reason='maintenance')
        assert '1 healthy' in script.check()[0]

    def test_two_failures_at_once_are_not_planned_work(self, script):
        script.grant('vm0')
        script.change('vm0', state=VmState.DRAINING, reason='maintenance')
        script.change('vm1', state=VmState.FAILED)
        script.change('vm2', state=VmState.FAILED)
        faults = script.check()
        assert len(faults) == 1
        assert '1 healthy' in faults[0]


class TestServing:
    def test_two_pools_in_one_boot(self):
        good = [('vm0', 1, 'a'), ('vm0', 1, 'a'), ('vm0', 2, 'b')]
        assert not find_mixed_service(good)
        assert find_mixed_service([*good, ('vm0', 2, 'a')])

    def test_call_while_in_service(self):
        assert not find_bad_calls([(0, 'drain', 'vm0', VmState.DRAINING)])
        assert find_bad_calls([(0, 'drain', 'vm0', VmState.IN_SERVICE)])
