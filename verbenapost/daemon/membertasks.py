"""What membership does in the store."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, final

from result import Err, Ok, Result

from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.membership import Membership
from verbenapost.coordination.pacing import (
    pace_lease,
    pace_renewal,
    pace_watch,
)
from verbenapost.daemon.livenesskey import LifeKey
from verbenapost.daemon.livenesswatch import AliveKeys
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.memberset import MemberSetKey
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import StorePort
from verbenapost.state.members import ALIVE_PREFIX, MemberRecord

#: Seconds between two looks at whether to ask the store.
CONTACT_POLL = 0.1

#: Shortest and longest pause after a failed call, in seconds.
PAUSE_MIN = 0.2
PAUSE_MAX = 2.0

#: Seconds that a leaving process gives the end of its lease.
RELEASE_SECONDS = 1.0

Step = Callable[[], Awaitable[Result[None, Failure]]]


@final
class MemberTasks:
    """Tasks that keep the life key, confirm the views and change the set.

    :param settings: settings of the daemon.
    :param record: record of this process.
    :param store: the platform's store.
    :param views: configuration, confirmed along with the set.
    :param membership: decisions.
    """

    def __init__(
        self,
        settings: Settings,
        record: MemberRecord,
        store: StorePort,
        views: ConfigurationService,
        membership: Membership,
    ) -> None:
        self.life = LifeKey(store, record)
        self._alive = AliveKeys(store, settings.region)
        self._record = record
        self._view_timeout = settings.view_timeout
        self._store = store
        self._views = views
        self._membership = membership
        self._register = membership.register
        self._set = MemberSetKey(store, settings.region, self._register)
        self._doubted = asyncio.Event()
        self._blockers: tuple[str, ...] = ()
        self._chance = random.Random(record.identity)  # noqa: S311
        self._log = make_logger('members')

    def list_tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the tasks to run while the daemon does."""
        return (self.run_life(), self.run_alive(), self.run_contacts())

    async def run_life(self) -> None:
        """Keep the life key until cancelled."""
        while True:
            await self._insist(self._keep_life)
            pause = PAUSE_MAX
            if self.life.sure:
                pause = pace_renewal(self._count_members())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._doubted.wait()
            self._doubted.clear()

    async def run_alive(self) -> None:
        """Follow the life keys until cancelled."""
        while True:
            await self._insist(self._follow_alive)
            self._check_own_key()

    async def run_contacts(self) -> None:
        """Confirm the views with the store until cancelled."""
        while True:
            if self._membership.begin_contact(read_clock()):
                await self._contact()
            await asyncio.sleep(CONTACT_POLL)

    async def forget(self, name: str) -> Result[None, Failure]:
        """Drop a member whose process is dead, for an operator."""
        reading = await self._set.read()
        if isinstance(reading, Err):
            return reading
        change = self._register.plan_forget(name)
        if change is None:
            detail = f'There is no member {name}.'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        life = self._alive.records.get(name)
        if life is not None:
            await self._store.delete(f'{ALIVE_PREFIX}{name}', life.since)
        return (await self._set.write(change)).map(lambda _revision: None)

    async def release(self) -> None:
        """End the own lease when the daemon leaves."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_SECONDS):
                await self.life.release()

    async def _keep_life(self) -> Result[None, Failure]:
        return await self.life.keep(pace_lease(self._count_members()))

    async def _follow_alive(self) -> Result[None, Failure]:
        return await self._alive.follow(pace_watch(self._count_members()))

    def _count_members(self) -> int:
        return len(self._register.member_set.members)

    def _check_own_key(self) -> None:
        own = self._alive.records.get(self._record.name)
        if own is None or own.identity != self._record.identity:
            self.life.doubt()
            self._doubted.set()

    async def _contact(self) -> None:
        sent_at = read_clock()
        confirmed = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._view_timeout):
                confirmed = await self._confirm()
        if confirmed:
            self._membership.confirm_store(sent_at)
            await self._plan()

    async def _confirm(self) -> bool:
        views = await self._views.follow(0)
        if isinstance(views, Err):
            return False
        return isinstance(await self._set.read(), Ok)

    async def _plan(self) -> None:
        if not self._alive.position or self.life.replaced:
            return
        now = read_clock()
        records = self._alive.records
        self._note_blockers(self._register.list_blockers(now, records))
        change = self._register.plan(now, records)
        if change is not None:
            await self._set.write(change)

    def _note_blockers(self, names: tuple[str, ...]) -> None:
        if names != self._blockers:
            self._blockers = names
            self._log.info('change of members waits for', names=names)

    async def _insist(self, step: Step) -> None:
        pause = PAUSE_MIN
        while isinstance(await step(), Err):
            await asyncio.sleep(pause * (1 + self._chance.random()))
            pause = min(PAUSE_MAX, pause * 2)
