"""Which daemon leads, by a leased key of the store."""

import asyncio
import dataclasses
import random
import secrets
from typing import Any, Final, final

import msgpack
from result import Err, Ok

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    Change,
    Expectation,
    Fault,
    Transaction,
    Write,
)
from verbenapost.scheduler.keys import LEADER_KEY, TERM_KEY
from verbenapost.scheduler.settings import SchedulerSettings

#: Seconds of the leader's lease: a successor has to wait for its end, and a
#: store that answers in a quarter of a second must not end it.
LEASE_SECONDS: Final = 1.5

#: Seconds between two renewals.
RENEW_SECONDS: Final = 0.4

#: Seconds before the lease's end from which no order is sent: an order that
#: was judged just before may take this long to leave the process.
LEASE_MARGIN: Final = 0.3

#: Longest random wait before a campaign, in seconds, so that one candidate
#: has written before the others have read.
CAMPAIGN_JITTER: Final = 0.15

#: Cores below which a daemon leaves leading to others; the entry VMs of the
#: users' grown sites have half a core or two.
MIN_LEADER_CORES: Final = 1.0

#: Seconds for which a daemon with less leaves the campaign to the others;
#: longer than their own waits together.
LOW_CPU_DELAY: Final = 0.4

#: Seconds for which a process counts as just started; a round of restarts
#: takes about as long.
RECENT_START_SECONDS: Final = 20.0

#: Seconds between two looks while another leads.
POLL_SECONDS: Final = 0.1

#: Seconds between two tries to renew.
RETRY_SECONDS: Final = 0.15


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Leadership:
    """Who leads.

    :param token: fencing token; rises with each leader.
    :param daemon: name of the daemon.
    :param incarnation: random text of the process.
    :param address: ``IP:port`` at which it takes streams of other daemons.
    """

    token: int
    daemon: str
    incarnation: str
    address: str

    def pack(self) -> bytes:
        """Return the bytes that the key holds."""
        packed: bytes = msgpack.packb(dataclasses.astuple(self))
        return packed


def unpack_leadership(packed: bytes) -> Leadership:
    """Return who leads by the bytes of the key.

    :raises ValueError: when they can't be read.
    """
    try:
        return Leadership(*msgpack.unpackb(packed))
    except TypeError as fault:
        raise ValueError(str(fault)) from fault


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """The last fencing token that was used.

    :param token: the token.
    :param resigned: whether its holder has stopped in an orderly way.
    """

    token: int
    resigned: bool = False

    def pack(self) -> bytes:
        """Return the bytes that the key holds."""
        packed: bytes = msgpack.packb(dataclasses.astuple(self))
        return packed


def unpack_term(packed: bytes) -> Term:
    """Return the term in the bytes of the key.

    >>> unpack_term(Term(3, resigned=True).pack())
    Term(token=3, resigned=True)
    """
    return Term(*msgpack.unpackb(packed))


class Election:
    """Campaigns while nobody leads and keeps the lease while it leads.

    :param store: the store.
    :param settings: settings of the daemon.
    :param log: log of this part.
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
        #: Whether the leader before this one has stopped in an orderly way.
        self.predecessor_resigned = False
        self._started_at = read_clock()
        self._store = store
        self._settings = settings
        self._log = log
        #: Random text of this process.
        self.incarnation = secrets.token_hex(8)
        self._own: Leadership | None = None
        self._lease = 0
        self._valid_until: float = 0
        self._seen_revision = 0

    @property
    def token(self) -> int:
        """Fencing token of this daemon's leadership; 0 without one."""
        return 0 if self._own is None else self._own.token

    @property
    def leads(self) -> bool:
        """Whether the leadership is not lost, though it may be in doubt."""
        return self._own is not None

    def holds_lease(self) -> bool:
        """Return whether orders may be sent at this very moment."""
        return (
            self._own is not None
            and read_clock() < self._valid_until - LEASE_MARGIN
        )

    def apply_change(self, change: Change) -> None:
        """Take a change of the leader's key from the follower."""
        if change.key != LEADER_KEY:
            return
        self._seen_revision = change.revision
        self.current = None
        if change.value is not None:
            self.current = self._read(change.value)
        own = self._own
        if own is not None and change.revision > self.revision:
            self.lose('the key was taken away or over')

    def lose(self, reason: str) -> None:
        """Stop to lead; the daemon starts over as an entry."""
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
            vacant = self._is_vacant() and not self.resigned
            if self._own:
                await self._renew()
            elif vacant:
                await self._campaign()
            else:
                await asyncio.sleep(POLL_SECONDS)

    async def resign(self) -> None:
        """Give the leadership up, so that another need not wait for it."""
        self.resigned = True
        lease = self._lease
        own = self._own
        if own is None:
            return
        self.lose('the daemon stops')
        await self._record_resignation(own)
        ended = await self._store.revoke_lease(lease)
        if isinstance(ended, Err):
            self._log.warning('lease not ended', fault=ended.err_value.fault)

    async def _record_resignation(self, own: Leadership) -> None:
        """Tell the successor that no order of this leader is on its way."""
        noted = await self._store.commit(
            Transaction(
                (Expectation(LEADER_KEY, self.revision),),
                (Write(TERM_KEY, Term(own.token, resigned=True).pack()),),
            )
        )
        if isinstance(noted, Err):
            self._log.warning('resignation not noted', fault=noted.err_value)

    async def _campaign(self) -> None:
        await asyncio.sleep(self._choose_delay())
        if not self._is_vacant():
            return
        replaced_revision = 0 if self.current is None else self._seen_revision
        term = await self._store.read_key(TERM_KEY)
        if isinstance(term, Err):
            await asyncio.sleep(RETRY_SECONDS)
            return
        last = term.ok_value
        previous = Term(0) if last is None else unpack_term(last.value)
        # The process before this one on the same VM is dead as well.
        self.predecessor_resigned = previous.resigned or replaced_revision > 0
        revision = 0 if last is None else last.revision
        await self._write(
            previous.token + 1,
            Expectation(TERM_KEY, revision),
            Expectation(LEADER_KEY, replaced_revision),
        )

    def _is_vacant(self) -> bool:
        """Return whether nobody leads, or only a dead process of this VM."""
        current = self.current
        if current is None:
            return True
        same_vm = current.daemon == self._settings.daemon
        return same_vm and current.incarnation != self.incarnation

    def _choose_delay(self) -> float:
        """Return the seconds to wait before a campaign.

        While the daemons are restarted in turn, one that has started lately
        will not be stopped soon.
        """
        delay = random.random() * CAMPAIGN_JITTER  # noqa: S311
        if read_clock() - self._started_at > RECENT_START_SECONDS:
            delay += CAMPAIGN_JITTER
        if self._settings.processor.cores < MIN_LEADER_CORES:
            delay += LOW_CPU_DELAY
        return delay

    async def _write(self, token: int, *expected: Expectation) -> None:
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
        transaction = Transaction(
            expected=expected,
            writes=(
                Write(TERM_KEY, Term(token).pack()),
                Write(LEADER_KEY, claim.pack(), lease.ok_value),
            ),
        )
        revision = await self._commit_claim(transaction, claim)
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
        self.won.set()

    async def _commit_claim(
        self,
        transaction: Transaction,
        claim: Leadership,
    ) -> int | None:
        """Return the revision of the key when this claim has won."""
        answer = await self._store.commit(transaction)
        if isinstance(answer, Ok):
            return answer.ok_value
        found = await self._store.read_key(LEADER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        if found.ok_value.value != claim.pack():
            return None
        return found.ok_value.revision

    async def _renew(self) -> None:
        sent_at = read_clock()
        answer = await self._store.renew_lease(self._lease)
        if self._own is None:
            return
        if not isinstance(answer, Err):
            self._valid_until = max(self._valid_until, sent_at + LEASE_SECONDS)
            await asyncio.sleep(RENEW_SECONDS)
            return
        if answer.err_value.fault is Fault.NOT_FOUND:
            self.lose('the lease has ended')
        else:
            # The lease may live on while the store is away; until it is
            # renewed or known to have ended, no order is sent.
            await asyncio.sleep(RETRY_SECONDS)

    def _read(self, packed: bytes) -> Leadership | None:
        try:
            return unpack_leadership(packed)
        except ValueError as fault:
            self._log.warning('leader can not be read', fault=str(fault))
            return None
