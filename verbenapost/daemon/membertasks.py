"""Store tasks of the membership: liveness key, views and member set."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, final

from result import Err, Ok, Result

from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.membership import Membership
from verbenapost.coordination.pacing import (
    get_lease_duration,
    get_renewal_interval,
    get_watch_timeout,
)
from verbenapost.daemon.livenesskey import LivenessKey
from verbenapost.daemon.livenesswatch import LivenessWatch
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.memberset import MemberSetKey
from verbenapost.daemon.settings import Settings
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import StorePort
from verbenapost.state.members import ALIVE_PREFIX, MemberRecord

#: Seconds between checks whether the store must be contacted.
STORE_CHECK_POLL_SECONDS = 0.1

#: Shortest and longest base delay after a failed call, in seconds.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 2.0

#: Seconds that a leaving process waits for its lease to be revoked.
RELEASE_SECONDS = 1.0

Step = Callable[[], Awaitable[Result[None, Failure]]]


@final
class MemberTasks:
    """Tasks that maintain the liveness key, the views and the member set.

    :param settings: settings of the daemon.
    :param record: member record of this process.
    :param store: the platform's store.
    :param views: configuration, confirmed together with the member set.
    :param membership: decides when to contact the store.
    """

    def __init__(
        self,
        settings: Settings,
        record: MemberRecord,
        store: StorePort,
        views: ConfigurationService,
        membership: Membership,
    ) -> None:
        self.liveness_key = LivenessKey(store, record)
        self._liveness_watch = LivenessWatch(store, settings.region)
        self._record = record
        self._view_timeout = settings.view_timeout
        self._store = store
        self._views = views
        self._membership = membership
        self._register = membership.register
        self._set = MemberSetKey(store, settings.region, self._register)
        self._recheck_due = asyncio.Event()
        self._blockers: tuple[str, ...] = ()
        self._rng = random.Random(record.identity)  # noqa: S311
        self._log = make_logger('members')

    def list_tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines to run while the daemon runs."""
        return (
            self.run_liveness_key(),
            self.run_liveness_watch(),
            self.run_store_checks(),
        )

    async def run_liveness_key(self) -> None:
        """Maintain the liveness key until cancelled."""
        while True:
            await self._retry(self._maintain_liveness_key)
            pause = MAX_PAUSE_SECONDS
            if self.liveness_key.known_held:
                pause = get_renewal_interval(self._count_members())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._recheck_due.wait()
            self._recheck_due.clear()

    async def run_liveness_watch(self) -> None:
        """Follow the liveness keys of all members until cancelled."""
        while True:
            await self._retry(self._follow_liveness_keys)
            self._check_own_key()

    async def run_store_checks(self) -> None:
        """Confirm the views with the store until cancelled."""
        while True:
            if self._membership.begin_store_check(read_clock()):
                await self._check_store()
            await asyncio.sleep(STORE_CHECK_POLL_SECONDS)

    async def forget(self, name: str) -> Result[None, Failure]:
        """Remove a member whose process has ended, for an operator."""
        reading = await self._set.read()
        if isinstance(reading, Err):
            return reading
        change = self._register.plan_forget(name)
        if change is None:
            detail = f'There is no member {name}.'
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        known = self._liveness_watch.records.get(name)
        if known is not None:
            await self._store.delete(f'{ALIVE_PREFIX}{name}', known.since)
        return (await self._set.write(change)).map(lambda _revision: None)

    async def release(self) -> None:
        """Revoke the lease of this daemon when it leaves."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_SECONDS):
                await self.liveness_key.release()

    async def _maintain_liveness_key(self) -> Result[None, Failure]:
        return await self.liveness_key.maintain(
            get_lease_duration(self._count_members())
        )

    async def _follow_liveness_keys(self) -> Result[None, Failure]:
        return await self._liveness_watch.follow(
            get_watch_timeout(self._count_members())
        )

    def _count_members(self) -> int:
        return len(self._register.member_set.members)

    def _check_own_key(self) -> None:
        own = self._liveness_watch.records.get(self._record.name)
        if own is None or own.identity != self._record.identity:
            self.liveness_key.recheck()
            self._recheck_due.set()

    async def _check_store(self) -> None:
        sent_at = read_clock()
        confirmed = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._view_timeout):
                confirmed = await self._confirm_views()
        if confirmed:
            self._membership.note_store_confirmation(sent_at)
            await self._change_member_set()

    async def _confirm_views(self) -> bool:
        views = await self._views.follow(0)
        if isinstance(views, Err):
            return False
        return isinstance(await self._set.read(), Ok)

    async def _change_member_set(self) -> None:
        if not self._liveness_watch.position or self.liveness_key.replaced:
            return
        now = read_clock()
        records = self._liveness_watch.records
        self._log_blockers(self._register.list_blockers(now, records))
        change = self._register.plan(now, records)
        if change is not None:
            await self._set.write(change)

    def _log_blockers(self, names: tuple[str, ...]) -> None:
        if names != self._blockers:
            self._blockers = names
            self._log.info('change of members waits for', names=names)

    async def _retry(self, step: Step) -> None:
        pause = MIN_PAUSE_SECONDS
        while isinstance(await step(), Err):
            await asyncio.sleep(pause * (1 + self._rng.random()))
            pause = min(MAX_PAUSE_SECONDS, pause * 2)
