"""Checks of a history of store changes against the budgets' guarantees."""

import collections

from verbenapost.coordination.pools.policy import find_domain
from verbenapost.coordination.pools.records import check_transition
from verbenapost.state.budgets import BUDGET_PREFIX, unpack_budget
from verbenapost.state.vms import VM_PREFIX, VmState, unpack_vm

_PLANNED_OUT = frozenset(
    (VmState.DRAINING, VmState.IN_MAINTENANCE, VmState.RETURNING)
)
_UNPLANNED_REASONS = frozenset(('leaving', 'recovery', 'new'))


def find_mixed_service(served):
    """Return the VMs that served two pools in one boot."""
    pools = collections.defaultdict(set)
    for vm, boot, pool in served:
        pools[vm, boot].add(pool)
    return [f'{key}: {names}' for key, names in pools.items() if len(names) > 1]


def find_bad_calls(calls):
    """Return the drains and reboots of VMs that were in service."""
    return [
        f'{operation} of {name} at {at} while {state}'
        for at, operation, name, state in calls
        if state is VmState.IN_SERVICE
    ]


class History:
    """Replays all changes in the order of revisions and finds violations.

    Failures that were recorded after the granting keeper last read the fleet
    are concurrent with the grant. A pool below ``min_healthy`` is a violation
    if such failures affect at most one failure domain.
    """

    def __init__(self, policy):
        self._policy = policy
        self._vms = {}
        self._grants = {}
        self._failed = collections.defaultdict(list)
        self.faults = []

    def replay(self, changes):
        for change in changes:
            if change.key.startswith(VM_PREFIX):
                self._change_vm(change)
            elif change.key.startswith(BUDGET_PREFIX):
                self._change_budget(change)
            self._check(change)
        return self.faults

    def _change_vm(self, change):
        name = change.key.removeprefix(VM_PREFIX)
        before = self._vms.get(name)
        if change.value is None:
            self._vms.pop(name, None)
            return
        after = unpack_vm(change.value)
        self._vms[name] = after
        if before is None:
            return
        refusal = check_transition(before, after)
        if refusal:
            self._report(change, f'{name}: {refusal}')
        if before.state is VmState.IN_SERVICE is not after.state:
            self._check_departure(change, after)

    def _check_departure(self, change, vm):
        for service in self._policy.find_budgets(vm.pool):
            granted = vm.name in self._list_granted(service)
            if vm.state is VmState.FAILED or vm.reason in _UNPLANNED_REASONS:
                self._failed[service].append((change.revision, vm))
            elif not granted:
                self._report(change, f'{vm.name} left {service} ungranted')

    def _change_budget(self, change):
        service = change.key.removeprefix(BUDGET_PREFIX)
        before = self._list_granted(service)
        record = unpack_budget(change.value)
        self._grants[service] = record.grants
        if self._list_granted(service) - before:
            self._failed[service] = [
                (revision, vm)
                for revision, vm in self._failed[service]
                if revision > change.read_revision
            ]

    def _check(self, change):
        for pool in self._policy.pools:
            members = [vm for vm in self._vms.values() if vm.pool == pool]
            for service, budget in self._policy.find_budgets(pool).items():
                self._check_uncounted(change, service, members)
                self._check_planned(change, service, budget, members)
                self._check_healthy(change, service, budget, members)

    def _check_uncounted(self, change, service, members):
        granted = self._list_granted(service)
        for vm in members:
            planned = vm.reason in {'maintenance', 'operator', 'replacement'}
            out = vm.state in _PLANNED_OUT and vm.state is not VmState.RETURNING
            if planned and out and vm.name not in granted:
                self._report(change, f'{vm.name} is out of {service} uncounted')

    def _check_planned(self, change, service, budget, members):
        planned = {
            grant.vm
            for grant in self._grants.get(service, ())
            if not grant.urgent
        }
        out = planned & {vm.name for vm in members}
        if len(out) > budget.max_planned:
            self._report(change, f'{service}: {sorted(out)} planned out')

    def _check_healthy(self, change, service, budget, members):
        if not self._list_granted(service):
            return
        lost = {
            find_domain(vm, budget.survive) for _, vm in self._failed[service]
        }
        healthy = sum(vm.state is VmState.IN_SERVICE for vm in members)
        if len(lost) <= 1 and healthy < budget.min_healthy:
            self._report(change, f'{service}: {healthy} healthy')

    def _list_granted(self, service):
        return {grant.vm for grant in self._grants.get(service, ())}

    def _report(self, change, violation):
        self.faults.append(f'{change.at:.3f} r{change.revision}: {violation}')
