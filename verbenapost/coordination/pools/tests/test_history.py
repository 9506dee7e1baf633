"""Tests of the history checker on constructed histories."""

import dataclasses

import pytest

from verbenapost.coordination.pools.tests.history import (
    History,
    find_bad_calls,
    find_mixed_service,
)
from verbenapost.coordination.pools.tests.simulation import Change, make_policy
from verbenapost.state.budgets import BudgetRecord, OutageGrant, pack_budget
from verbenapost.state.documents import AvailabilityBudget, FailureDomain
from verbenapost.state.vms import VmRecord, VmState, pack_vm

BUDGET = AvailabilityBudget(2, 1, FailureDomain.VM)


class HistoryBuilder:
    """Builds a history that starts with three VMs in service."""

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
        grants = [OutageGrant(name, 'maintenance', 0, 'k', 1) for name in names]
        value = pack_budget(BudgetRecord(tuple(grants)))
        self._add('budget/svc-pool0', value, read_revision)

    def check(self):
        return History(make_policy(budget=BUDGET)).replay(self.changes)

    def _add(self, key, value, read_revision=None):
        revision = len(self.changes) + 1
        read = revision - 1 if read_revision is None else read_revision
        self.changes.append(Change(0, revision, key, value, 'k', read))


@pytest.fixture
def builder():
    return HistoryBuilder()


class TestHistory:
    def test_good_history(self, builder):
        builder.grant('vm0')
        builder.change('vm0', state=VmState.DRAINING, reason='maintenance')
        builder.change('vm0', state=VmState.IN_MAINTENANCE)
        builder.change('vm0', state=VmState.RETURNING)
        builder.change('vm0', state=VmState.IN_SERVICE, reason='')
        builder.grant()
        assert not builder.check()

    def test_ungranted_outage(self, builder):
        builder.change('vm0', state=VmState.DRAINING, reason='maintenance')
        assert 'ungranted' in builder.check()[0]

    def test_uncounted_outage(self, builder):
        builder.grant('vm0')
        builder.change('vm0', state=VmState.DRAINING, reason='maintenance')
        builder.grant()
        assert 'uncounted' in builder.check()[0]

    def test_exceeded_budget(self, builder):
        builder.grant('vm0', 'vm1')
        assert 'planned out' in builder.check()[0]

    def test_pool_changed_without_a_reboot(self, builder):
        builder.change('vm0', pool='pool1', epoch=1)
        assert 'only after the reboot' in builder.check()[0]

    def test_planned_work_after_a_known_failure(self, builder):
        builder.change('vm1', state=VmState.FAILED)
        builder.grant('vm0')
        builder.change('vm0', state=VmState.DRAINING, reason='maintenance')
        assert '1 healthy' in builder.check()[0]

    def test_two_failures_at_once_are_not_planned_work(self, builder):
        builder.grant('vm0')
        builder.change('vm0', state=VmState.DRAINING, reason='maintenance')
        builder.change('vm1', state=VmState.FAILED)
        builder.change('vm2', state=VmState.FAILED)
        faults = builder.check()
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
