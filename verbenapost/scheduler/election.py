"""Leader election by a leased key of the store."""

import asyncio
import random
import secrets
from typing import Any, Final

from result import Err

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    CallFaultKind,
    ExpectedRevision,
    KeyChange,
)
from verbenapost.scheduler.keys import LEADER_KEY, TERM_KEY
from verbenapost.scheduler.leaderkeys import LeaderKeys
from verbenapost.scheduler.leadership import Leadership
from verbenapost.scheduler.predecessor import Predecessor
from verbenapost.scheduler.settings import SchedulerSettings

#: Seconds of the leader's lease. A successor waits for its expiry, so it is
#: short; a store that answers in 0.25 s must not let it expire.
LEASE_SECONDS: Final = 1.5

#: Seconds between two renewals of the lease.
RENEW_SECONDS: Final = 0.4

#: Seconds before the lease's expiry from which no order is sent. An order
#: checked just before may take this long to leave the process.
LEASE_MARGIN: Final = 0.3

#: Longest random wait before a campaign, in seconds, so that one candidate
#: writes before the others read.
CAMPAIGN_JITTER: Final = 0.15

#: Cores below which a daemon delays its campaign, so that others lead. The
#: entry VMs of the users' larger sites have half a core or two cores.
MIN_LEADER_CORES: Final = 1.0

#: Seconds by which a daemon with fewer cores delays its campaign; more than the
#: longest delay of any other daemon.
LOW_CPU_DELAY: Final = 0.4

#: Seconds for which a process counts as recently started; a rolling restart
#: of all daemons takes about as long.
RECENT_START_SECONDS: Final = 20.0

#: Seconds between two checks while another daemon leads.
POLL_SECONDS: Final = 0.1

#: Seconds before a failed call of the store is retried.
RETRY_SECONDS: Final = 0.15


class Election:
    """Campaigns while there is no leader and renews the lease while leading.

    :param store: the store.
    :param settings: settings of the daemon.
    :param log: logger.
    :ivar current: the current leader as the store shows it, or ``None``.
    :ivar won: set while this daemon leads.
    :ivar lost: set after this daemon lost the leadership.
    :ivar revision: revision at which this daemon wrote the leader key.
    :ivar resigned: whether this daemon no longer campaigns.
    :ivar leader_open: whether this daemon's leader of its last term leads or is
        still closing, which a campaign has to wait for.
    :ivar predecessor: the previous leader.
    """

    def __init__(
        self,
        store: PlatformStore,
        settings: SchedulerSettings,
        log: Any,
    ) -> None:
        self.current: Leadership | None = None
        self.won = asyncio.Event()
        self.lost = asyncio.Event()
        self.revision = 0
        self.resigned = False
        self.leader_open = False
        self.predecessor = Predecessor()
        self._started_at = read_clock()
        self._store = store
        self._keys = LeaderKeys(store, log)
        self._settings = settings
        self._log = log
        #: Random identity of this process.
        self.incarnation = secrets.token_hex(8)
        self._own: Leadership | None = None
        self._lease = 0
        self._valid_until: float = 0
        self._seen_revision = 0

    @property
    def token(self) -> int:
        """Fencing token of this daemon, 0 while it does not lead."""
        return 0 if self._own is None else self._own.token

    @property
    def leads(self) -> bool:
        """Whether this daemon leads, even if its lease may have expired."""
        return self._own is not None

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent now."""
        return (
            self._own is not None
            and read_clock() < self._valid_until - LEASE_MARGIN
        )

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of the leader key."""
        if change.key != LEADER_KEY:
            return
        self._seen_revision = change.revision
        self.current = None
        if change.value is not None:
            self.current = self._keys.decode_leader(change.value)
        own = self._own
        if own is not None and change.revision > self.revision:
            self.lose('the leader key was removed or replaced')

    def note_process(self, daemon: str, incarnation: str) -> None:
        """Record a process that runs now, which may show a dead predecessor.

        Without fencing, an order of a dead process may still take effect.

        :param daemon: name of its daemon.
        :param incarnation: random identity of the process.
        """
        if self._settings.bounds.fencing_required:
            self.predecessor.note_process(daemon, incarnation)

    def lose(self, reason: str) -> None:
        """Stop leading; the daemon then only serves callers.

        :param reason: reason for the log.
        """
        if self._own is None:
            return
        self._log.warning(
            'leadership lost', term=self._own.token, reason=reason
        )
        self._own = None
        self._valid_until = 0
        self.won.clear()
        self.lost.set()

    async def run(self) -> None:
        """Campaign and renew until the task is cancelled."""
        while True:
            may_campaign = not self.resigned and not self.leader_open
            if self._own:
                await self._renew()
            elif may_campaign and self._is_vacant():
                await self._campaign()
            else:
                await asyncio.sleep(POLL_SECONDS)

    async def resign(self) -> None:
        """Give up the leadership, so that a successor need not wait."""
        self.resigned = True
        lease = self._lease
        own = self._own
        if own is None:
            return
        self.lose('the daemon is stopping')
        await self._keys.record_resignation(own, self.revision)
        revoked = await self._store.revoke_lease(lease)
        if isinstance(revoked, Err):
            self._log.warning('lease not revoked', fault=revoked.err_value.kind)

    async def _campaign(self) -> None:
        await asyncio.sleep(self._choose_delay())
        if not self._is_vacant():
            return
        replaced_revision = 0 if self.current is None else self._seen_revision
        last = await self._keys.read_term()
        if last is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        previous = last.term
        # A leader key of this VM belongs to its previous process, which is
        # dead and sends no more orders.
        self.predecessor = Predecessor(
            await self._keys.read_last_leader(previous.token),
            gone=previous.resigned or replaced_revision > 0,
        )
        self.note_process(self._settings.daemon, self.incarnation)
        await self._write_claim(
            previous.token + 1,
            ExpectedRevision(TERM_KEY, last.revision),
            ExpectedRevision(LEADER_KEY, replaced_revision),
        )

    def _is_vacant(self) -> bool:
        """Return whether no daemon leads, or only a dead process of this VM."""
        current = self.current
        if current is None:
            return True
        same_vm = current.daemon == self._settings.daemon
        return same_vm and current.incarnation != self.incarnation

    def _choose_delay(self) -> float:
        """Return the seconds to wait before a campaign.

        Recently started daemons wait less: during a rolling restart they will
        not be stopped again soon.
        """
        delay = random.random() * CAMPAIGN_JITTER  # noqa: S311
        if read_clock() - self._started_at > RECENT_START_SECONDS:
            delay += CAMPAIGN_JITTER
        if self._settings.processor.cores < MIN_LEADER_CORES:
            delay += LOW_CPU_DELAY
        return delay

    async def _write_claim(
        self, token: int, *expected: ExpectedRevision
    ) -> None:
        sent_at = read_clock()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        if isinstance(lease, Err):
            await asyncio.sleep(RETRY_SECONDS)
            return
        claim = Leadership(
            token,
            self._settings.daemon,
            self.incarnation,
            self._settings.peer_address,
        )
        revision = await self._keys.commit_claim(
            claim, lease.ok_value, expected
        )
        if revision is None:
            await asyncio.sleep(POLL_SECONDS)
            return
        self._own = claim
        self._lease = lease.ok_value
        self.revision = revision
        self._valid_until = sent_at + LEASE_SECONDS
        self.current = claim
        self._log.info('leadership won', term=token, revision=revision)
        self.lost.clear()
        self.leader_open = True
        self.won.set()

    async def _renew(self) -> None:
        sent_at = read_clock()
        answer = await self._store.renew_lease(self._lease)
        if self._own is None:
            return
        if not isinstance(answer, Err):
            self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)
            await asyncio.sleep(RENEW_SECONDS)
            return
        if answer.err_value.kind is CallFaultKind.NOT_FOUND:
            self.lose('the lease has expired')
        else:
            # The lease may still be valid while the store is unavailable. No
            # order is sent until it is renewed or known to have expired.
            await asyncio.sleep(RETRY_SECONDS)
