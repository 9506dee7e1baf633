"""Tests of the watch for VMs that the platform is about to remove."""

from result import Ok

from verbenapost.daemon.leaving import LeavingReports, LeavingWatch
from verbenapost.protocol.platform import ListedVmState
from verbenapost.protocol.views import LeavingVms


class ListedVm:
    """Entry of the VM list for a leaving VM."""

    def __init__(self, name):
        self.name = name
        self.state = ListedVmState.LEAVING


class FakePlatform:
    def __init__(self, *names):
        self.listed = [ListedVm(name) for name in names]

    async def list_vms(self):
        return Ok(list(self.listed))


class WatchFixture:
    """Watch whose platform lists leaving VMs, with the messages it sent."""

    def __init__(self, *names):
        self.sent = []
        self.platform = FakePlatform(*names)
        self.watch = LeavingWatch(self.platform, self.send, lambda: None)

    def send(self, member, message):
        self.sent.append((member, message.names))
        return True


class TestLeavingWatch:
    async def test_each_member_is_notified_once(self):
        fixture = WatchFixture('vm-1')
        fixture.watch.reconcile({'a', 'b'}, is_reader=True)
        await fixture.watch.read()
        await fixture.watch.read()
        assert sorted(fixture.sent) == [('a', ('vm-1',)), ('b', ('vm-1',))]

    async def test_a_member_that_came_back_is_notified_again(self):
        fixture = WatchFixture('vm-1')
        fixture.watch.reconcile({'a', 'b'}, is_reader=True)
        await fixture.watch.read()
        fixture.watch.reconcile({'a'}, is_reader=True)
        fixture.watch.reconcile({'a', 'b'}, is_reader=True)
        await fixture.watch.read()
        assert fixture.sent.count(('b', ('vm-1',))) == 2

    async def test_a_reader_that_stops_reports_no_names(self):
        fixture = WatchFixture('vm-1')
        fixture.watch.reconcile({'a'}, is_reader=True)
        await fixture.watch.read()
        fixture.watch.reconcile({'a'}, is_reader=False)
        assert fixture.sent[-1] == ('a', ())


class TestLeavingReports:
    def test_an_empty_report_keeps_the_names_of_another(self):
        reports = LeavingReports()
        reports.record('a', LeavingVms(('vm-1',)).names)
        reports.record('b', ())
        assert reports.merge() == {'vm-1'}
