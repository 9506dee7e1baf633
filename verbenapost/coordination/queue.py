"""The queue of one service: order, fairness, slots and shedding."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.admission import Admission, refuse
from verbenapost.coordination.dispatch import Dispatcher, SlotAnswer
from verbenapost.coordination.grants import Grant
from verbenapost.coordination.openasks import OpenAsks
from verbenapost.coordination.quotas import ANY_TEAM, Quotas
from verbenapost.coordination.rebuild import Rebuild
from verbenapost.coordination.runs import Runs
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import Target, TargetPool
from verbenapost.coordination.waiting import ShareKey, Waiting
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import (
    AskSlot,
    Envelope,
    RefuseSlot,
    ReleaseSlot,
    ReportSlots,
    RunningGrant,
    Verdict,
)
from verbenapost.state.documents import Quota

#: Asks that wait at most.
MAX_WAITING = 10_000

#: Seconds between two sizings of the part kept for short work.
RESERVE_INTERVAL = 0.25

_SHED = 'The queue is full.'
_LATE = 'No slot was free in time.'


@final
class ServiceQueue:
    """Decisions of the owner of one service's queue.

    Explanation
    ===========

    Every method takes the time, in monotonic seconds, and a typed message,
    and returns the messages to send. Each ask gets one answer, a grant or a
    refusal, unless it is cancelled first. Messages may be repeated and may
    arrive in another order.

    Examples
    ========

    >>> queue = ServiceQueue('booking')
    >>> queue.set_targets(0, [Target('vm-1', '127.0.0.1:80', 1)])
    []
    >>> ask = AskSlot('a-1', 'booking', 'portal', 'visit', entry='e-1')
    >>> queue.ask(0, ask)[0].message.target
    'vm-1'

    :param service: name of the service.
    :param epoch: identity of this start of the owner, growing.
    :param max_waiting: asks that wait at most.
    """

    def __init__(
        self,
        service: str,
        epoch: int = 0,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self.service = service
        self.epoch = epoch
        self.quotas = Quotas()
        self.times = RunTimes()
        self.pool = TargetPool()
        self.shares = FairShares()
        self._max_waiting = max_waiting
        self._sized_at: float = 0
        self._asks = OpenAsks(self.shares)
        self.rebuild = Rebuild(service, epoch)
        self._runs = Runs(self.pool, self.shares, self.times)
        self.grants = self._runs.grants
        self._admission = Admission(
            self.pool, self.shares, self.times, self.quotas
        )
        self._dispatcher = Dispatcher(
            epoch, self.pool, self.shares, self.times, self._runs
        )

    @property
    def waiting(self) -> int:
        """Return how many asks wait."""
        return self.shares.waiting

    def start(self, now: float, members: Collection[str]) -> list[Envelope]:
        """Begin as a successor: grant only when the entries have reported.

        :param members: names of the live daemons.
        """
        return self.rebuild.start(now, members)

    def set_members(
        self,
        now: float,
        members: Collection[str],
    ) -> list[Envelope]:
        """Drop the asks of entries that are gone."""
        self.rebuild.set_members(members)
        for waiting in self._asks.list_orphans(members):
            self._asks.close(waiting)
        return self._run(now)

    def set_targets(
        self,
        now: float,
        targets: Iterable[Target],
    ) -> list[Envelope]:
        """Replace the targets in service."""
        self.pool.replace(now, targets)
        return self._run(now)

    def mark_leaving(self, now: float, target: str) -> list[Envelope]:
        """Grant nothing more on a target from now on."""
        self.pool.mark_leaving(target)
        return self._run(now)

    def set_limits(
        self,
        now: float,
        kind_weights: Mapping[str, float],
        quotas: Mapping[str, Quota],
    ) -> list[Envelope]:
        """Replace weights and quotas.

        :param kind_weights: share of each kind; 1 for kinds not named.
        :param quotas: by calling team; ``*`` for teams not named.
        """
        self.quotas.set_limits(now, quotas)
        self.shares.set_weights(_make_weigher(kind_weights, quotas))
        return self._run(now)

    def ask(self, now: float, ask: AskSlot) -> list[Envelope]:
        """Answer an ask at once or queue it."""
        known = self._answer_repeat(ask)
        if known is not None:
            return known
        refusal = self._admission.check(now, ask)
        if refusal is not None:
            return [self._reject(ask, refusal)]
        return self._enqueue(now, ask)

    def cancel(self, now: float, ask_id: str) -> list[Envelope]:
        """Forget an ask whose caller went away, in constant time."""
        grant = self.grants.get(ask_id)
        if grant is not None:
            return self._finish(now, grant, Verdict.CANCELLED)
        waiting = self._asks.get(ask_id)
        if waiting is not None:
            self._asks.close(waiting)
        self._asks.remember(ask_id, None)
        return []

    def release(self, now: float, message: ReleaseSlot) -> list[Envelope]:
        """Free a slot and learn from how its run ended."""
        grant = self.grants.get(message.ask_id)
        if grant is None or grant.message.grant != message.grant:
            return []
        verdict = Verdict(message.verdict)
        self._runs.learn(now, grant, verdict, message.run_time)
        return self._finish(now, grant, verdict)

    def tick(self, now: float) -> list[Envelope]:
        """Expire grants and deadlines; size the part for short work."""
        outgoing = self.rebuild.tick(now)
        for grant in self.grants.list_expired(now):
            self._end(now, grant, Verdict.CANCELLED)
        outgoing.extend(
            self._refuse(waiting, _refuse_late(waiting.ask))
            for waiting in self._asks.pop_due(now)
        )
        if now - self._sized_at >= RESERVE_INTERVAL:
            self._sized_at = now
            self._runs.size_reserve(now)
        return outgoing + self._run(now)

    def report(self, now: float, message: ReportSlots) -> list[Envelope]:
        """Take over what an entry holds and waits for."""
        if message.owner_epoch != self.epoch:
            return []
        reported: set[str] = set()
        for fields in message.running:
            running = RunningGrant(*fields)
            reported.add(running.ask_id)
            self._adopt(now, message.entry, running)
        for grant in self.grants.list_missing(now, message.entry, reported):
            self._end(now, grant, Verdict.CANCELLED)
        self.rebuild.hear(message.entry)
        outgoing: list[Envelope] = []
        for row in message.waiting:
            outgoing.extend(self.ask(now, AskSlot(*row)))
        return outgoing + self._run(now)

    def _answer_repeat(self, ask: AskSlot) -> list[Envelope] | None:
        """Return the answer to a repeated ask, ``None`` for a new one."""
        if self._asks.get(ask.ask_id) is not None:
            return []
        grant = self.grants.get(ask.ask_id)
        if grant is not None and grant.adopted:
            return []
        if grant is not None:
            return [Envelope(grant.entry, grant.message)]
        if not self._asks.is_closed(ask.ask_id):
            return None
        refusal = self._asks.get_refusal(ask.ask_id)
        return [] if refusal is None else [Envelope(ask.entry, refusal)]

    def _enqueue(self, now: float, ask: AskSlot) -> list[Envelope]:
        waiting = self._asks.prepare(now, ask)
        if self.rebuild.is_done(now):
            refusal = self._admission.check_wait(now, waiting)
            if refusal is not None:
                return [self._reject(ask, refusal)]
        self._asks.add(waiting)
        return self._run(now) + self._shed(now)

    def _shed(self, now: float) -> list[Envelope]:
        if self.shares.waiting <= self._max_waiting:
            return []
        victim = self._admission.find_victim(now)
        if victim is None:
            return []
        refusal = refuse(victim.ask, ErrorKind.OVERLOADED, 1, _SHED)
        return [self._refuse(victim, refusal)]

    def _run(self, now: float) -> list[Envelope]:
        if not self.rebuild.is_done(now):
            return []
        return [
            self._send(waiting, answer)
            for waiting, answer in self._dispatcher.run(now)
        ]

    def _send(self, waiting: Waiting, answer: SlotAnswer) -> Envelope:
        if isinstance(answer, RefuseSlot):
            return self._refuse(waiting, answer)
        self._asks.close(waiting)
        return Envelope(waiting.ask.entry, answer)

    def _reject(self, ask: AskSlot, refusal: RefuseSlot) -> Envelope:
        self._asks.remember(ask.ask_id, refusal)
        return Envelope(ask.entry, refusal)

    def _refuse(self, waiting: Waiting, refusal: RefuseSlot) -> Envelope:
        self._asks.close(waiting)
        return self._reject(waiting.ask, refusal)

    def _finish(
        self,
        now: float,
        grant: Grant,
        verdict: Verdict,
    ) -> list[Envelope]:
        self._end(now, grant, verdict)
        return self._run(now)

    def _end(self, now: float, grant: Grant, verdict: Verdict) -> None:
        self._runs.end(now, grant, verdict)
        self._asks.remember(grant.message.ask_id, None)

    def _adopt(self, now: float, entry: str, row: RunningGrant) -> None:
        known = self.grants.get(row.ask_id)
        if known is not None and _is_held(known, row):
            self._runs.renew(now, known)
            return
        if known is not None:
            # The entry had served the ask itself; it returns the grant.
            self._runs.end(now, known, Verdict.CANCELLED)
            self._runs.adopt(now, entry, row)
            return
        if self._asks.is_closed(row.ask_id):
            return
        waiting = self._asks.get(row.ask_id)
        if waiting is not None:
            self._asks.close(waiting)
        self._runs.adopt(now, entry, row)


def _refuse_late(ask: AskSlot) -> RefuseSlot:
    return refuse(ask, ErrorKind.DEADLINE_EXCEEDED, 1, _LATE)


def _is_held(grant: Grant, row: RunningGrant) -> bool:
    return bool(row.grant) or grant.message.grant == row.grant


def _make_weigher(
    kind_weights: Mapping[str, float],
    quotas: Mapping[str, Quota],
) -> Callable[[ShareKey], float]:
    by_kind = dict(kind_weights)
    by_team = {team: quota.weight for team, quota in quotas.items()}
    anyone = by_team.get(ANY_TEAM, 1)

    def weigh(key: ShareKey) -> float:
        team, kind = key
        return by_team.get(team, anyone) * by_kind.get(kind, 1)

    return weigh
