"""Watch of the VM list for VMs that the platform is about to remove."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Any, final

from result import Err

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.platform import ListedVmState, PlatformPort
from verbenapost.protocol.views import LeavingVms

#: Seconds between reads of the VM list.
LIST_PERIOD = 1.0

#: Number of members that read the list. With only one reader, a leaving VM
#: would go unnoticed while that reader is paused but still counts as live.
READER_COUNT = 2


@final
class LeavingWatch:
    """Notifies all members of VMs that the platform is about to remove.

    :param platform: provides the VM list.
    :param send: sends a message to a member.
    :param on_change: called when the list has changed.
    """

    def __init__(
        self,
        platform: PlatformPort,
        send: Callable[[str, Any], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._is_reader = False
        self._members: frozenset[str] = frozenset()
        self._platform = platform
        self._send = send
        self._on_change = on_change
        self._listed: Sequence[Any] = ()
        self._names: tuple[str, ...] = ()
        self._notified: frozenset[str] = frozenset()
        self._log = make_logger('vms')

    def reconcile(self, members: Collection[str], *, is_reader: bool) -> None:
        """Start or stop reading the list as the members change.

        :param members: live members, this daemon included.
        :param is_reader: whether this daemon reads the list.
        """
        self._members = frozenset(members)
        # A member that left and came back has lost earlier notifications.
        self._notified &= self._members
        if self._is_reader and not is_reader:
            self._set_names(())
            self._notify()
        self._is_reader = is_reader

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        while True:
            if self._is_reader:
                await self.read()
            await asyncio.sleep(LIST_PERIOD)

    async def read(self) -> None:
        """Read the list once and notify the members of changes."""
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            self._log.warning(
                'VM list read failed',
                detail=listed.err_value.detail,
            )
            return
        if not self._is_reader:
            return
        if listed.ok_value != self._listed:
            self._listed = listed.ok_value
            self._on_change()
        self._set_names(_find_leaving(self._listed))
        self._notify()

    def _set_names(self, names: tuple[str, ...]) -> None:
        if names != self._names:
            self._log.info('leaving VMs changed', names=names)
            self._names = names
            self._notified = frozenset()

    def _notify(self) -> None:
        message = LeavingVms(self._names)
        notified = {
            name
            for name in self._members
            if name in self._notified or self._send(name, message)
        }
        self._notified = frozenset(notified)


@final
class LeavingReports:
    """Latest report of leaving VMs from each reader of the VM list.

    Examples
    ========

    >>> reports = LeavingReports()
    >>> reports.record('entry-1', ['vm-1'])
    >>> reports.record('entry-2', ['vm-2'])
    >>> sorted(reports.merge())
    ['vm-1', 'vm-2']
    >>> reports.retain(['entry-2'])
    >>> sorted(reports.merge())
    ['vm-2']
    """

    def __init__(self) -> None:
        self._reports: dict[str, frozenset[str]] = {}

    def record(self, sender: str, names: Collection[str]) -> None:
        """Replace the report of one reader."""
        self._reports[sender] = frozenset(names)

    def retain(self, members: Collection[str]) -> None:
        """Drop the reports of daemons that are no longer members."""
        for gone in self._reports.keys() - set(members):
            self._reports.pop(gone)

    def merge(self) -> frozenset[str]:
        """Return the VMs that at least one reader reports as leaving."""
        return frozenset().union(*self._reports.values())


def _find_leaving(listed: Sequence[Any]) -> tuple[str, ...]:
    return tuple(
        sorted(vm.name for vm in listed if vm.state is ListedVmState.LEAVING),
    )
