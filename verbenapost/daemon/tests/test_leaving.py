"""Tests of the watch for VMs that the platform is about to withdraw."""

from result import Ok

from verbenapost.daemon.leaving import LeavingReports, LeavingWatch
from verbenapost.protocol.platform import ListState
from verbenapost.protocol.views import LeavingVms


class Listed:
    def __init__(self, name):
        self.name = name
        self.state = ListState.LEAVING


class FakePlatform:
    def __init__(self, *names):
        self.listed = [Listed(name) for name in names]

    async def list_vms(self):
        return Ok(list(self.listed))


class Watch:
    def __init__(self, *names):
        self.sent = []
        self.platform = FakePlatform(*names)
        self.watch = LeavingWatch(self.platform, self.send, lambda: None)

    def send(self, member, message):
        self.sent.append((member, message.names))
        return True


class TestLeavingWatch:
    async def test_each_member_is_notified_once(self):
        case = Watch('vm-1')
        case.watch.reconcile({'a', 'b'}, reads=True)
        await case.watch.read()
        await case.watch.read()
        assert sorted(case.sent) == [('a', ('vm-1',)), ('b', ('vm-1',))]

    async def test_a_member_that_came_back_is_notified_again(self):
        case = Watch('vm-1')
        case.watch.reconcile({'a', 'b'}, reads=True)
        await case.watch.read()
        case.watch.reconcile({'a'}, reads=True)
        case.watch.reconcile({'a', 'b'}, reads=True)
        await case.watch.read()
        assert case.sent.count(('b', ('vm-1',))) == 2

    async def test_a_reader_that_stops_withdraws_its_names(self):
        case = Watch('vm-1')
        case.watch.reconcile({'a'}, reads=True)
        await case.watch.read()
        case.watch.reconcile({'a'}, reads=False)
        assert case.sent[-1] == ('a', ())


class TestLeavingReports:
    def test_an_empty_report_does_not_withdraw_names_of_another(self):
        reports = LeavingReports()
        reports.record('a', LeavingVms(('vm-1',)).names)
        reports.record('b', ())
        assert reports.merge() == {'vm-1'}
