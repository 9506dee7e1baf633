"""Follows the VM list for VMs that the platform is about to take away."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Any, final

from result import Err

from verbenapost.daemon.logs import make_logger
from verbenapost.protocol.platform import ListState, PlatformPort
from verbenapost.protocol.views import LeavingVms

#: Seconds between two readings of the VM list.
LIST_PERIOD = 1.0

#: Members that read the list. With one alone, nobody would hear of a VM that
#: leaves while that one is paused and not yet missed.
READERS = 2


@final
class LeavingWatch:
    """Tells all members which VMs the platform is about to take away.

    :param platform: VM list.
    :param send: sends to a member.
    :param on_change: called when the list has changed.
    """

    def __init__(
        self,
        platform: PlatformPort,
        send: Callable[[str, Any], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._reads = False
        self._members: frozenset[str] = frozenset()
        self._platform = platform
        self._send = send
        self._on_change = on_change
        self._listed: Sequence[Any] = ()
        self._names: tuple[str, ...] = ()
        self._told: frozenset[str] = frozenset()
        self._log = make_logger('vms')

    def settle(self, members: Collection[str], *, reads: bool) -> None:
        """Take over or give up the reading of the list.

        :param members: live members, this daemon included.
        :param reads: whether this daemon reads the list.
        """
        self._members = frozenset(members)
        # A member that has gone and comes back has forgotten what it heard.
        self._told &= self._members
        if self._reads and not reads:
            self._change_names(())
            self._tell()
        self._reads = reads

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        while True:
            if self._reads:
                await self.read()
            await asyncio.sleep(LIST_PERIOD)

    async def read(self) -> None:
        """Read the list once and tell what is new."""
        listed = await self._platform.list_vms()
        if isinstance(listed, Err):
            self._log.warning('no VM list', detail=listed.err_value.detail)
            return
        if not self._reads:
            return
        if listed.ok_value != self._listed:
            self._listed = listed.ok_value
            self._on_change()
        self._change_names(_find_leaving(self._listed))
        self._tell()

    def _change_names(self, names: tuple[str, ...]) -> None:
        if names != self._names:
            self._log.info('VMs leave', names=names)
            self._names = names
            self._told = frozenset()

    def _tell(self) -> None:
        message = LeavingVms(self._names)
        told = {
            name
            for name in self._members
            if name in self._told or self._send(name, message)
        }
        self._told = frozenset(told)


@final
class LeavingNames:
    """What a member has heard of VMs that leave.

    Examples
    ========

    >>> names = LeavingNames()
    >>> names.note('entry-1', ['vm-1'])
    >>> names.note('entry-2', ['vm-2'])
    >>> sorted(names.join())
    ['vm-1', 'vm-2']
    >>> names.keep(['entry-2'])
    >>> sorted(names.join())
    ['vm-2']
    """

    def __init__(self) -> None:
        self._told: dict[str, frozenset[str]] = {}

    def note(self, sender: str, names: Collection[str]) -> None:
        """Replace what a reader of the list has told."""
        self._told[sender] = frozenset(names)

    def keep(self, members: Collection[str]) -> None:
        """Forget what daemons told that are no members any more."""
        for gone in self._told.keys() - set(members):
            self._told.pop(gone)

    def join(self) -> frozenset[str]:
        """Return the VMs of which any reader says that they leave."""
        return frozenset().union(*self._told.values())


def _find_leaving(listed: Sequence[Any]) -> tuple[str, ...]:
    return tuple(
        sorted(vm.name for vm in listed if vm.state is ListState.LEAVING),
    )
