"""Scheduling decisions of the queue of one service."""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.admission import Admission, make_refusal
from verbenapost.coordination.dispatch import Dispatcher, SlotAnswer
from verbenapost.coordination.grants import Grant
from verbenapost.coordination.quotas import ANY_TEAM, Quotas
from verbenapost.coordination.rebuild import Rebuild
from verbenapost.coordination.requesttable import RequestTable
from verbenapost.coordination.runs import Runs
from verbenapost.coordination.runtimes import RunTimes
from verbenapost.coordination.sharequeue import QueuedRequest, ShareKey
from verbenapost.coordination.shares import FairShares
from verbenapost.coordination.targets import Target, TargetPool
from verbenapost.protocol.errors import ErrorKind
from verbenapost.protocol.slots import (
    QueueMessage,
    RefuseSlot,
    ReleaseSlot,
    ReportSlots,
    RunningGrant,
    RunOutcome,
    SlotRequest,
)
from verbenapost.state.documents import Quota

#: Slot requests that may wait in one queue.
MAX_WAITING = 10_000

#: Seconds between recalculations of the slots reserved for short work.
RESERVE_INTERVAL = 0.25

_QUEUE_FULL = 'The queue is full.'
_NO_SLOT_IN_TIME = 'No slot was free in time.'


@final
class ServiceQueue:
    """Orders, grants and refuses the slot requests of one service.

    Explanation
    ===========

    The object runs in the owner of the queue and does no input or output:
    each method is called with the current monotonic time in seconds and a
    typed message, and returns the messages to send. Each slot request gets
    one answer, a grant or a refusal, unless it is cancelled first. Messages
    may be repeated and may arrive out of order.

    Examples
    ========

    >>> queue = ServiceQueue('booking')
    >>> queue.set_targets(0, [Target('vm-1', '127.0.0.1:80', 1)])
    []
    >>> first = SlotRequest('a-1', 'booking', 'portal', 'visit', entry='e-1')
    >>> queue.request_slot(0, first)[0].message.target
    'vm-1'

    :param service: name of the service.
    :param epoch: number of this incarnation of the owner; it increases with
        each incarnation.
    :param max_waiting: slot requests that may wait.
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
        self.run_times = RunTimes()
        self.pool = TargetPool()
        self.shares = FairShares()
        self._max_waiting = max_waiting
        self._sized_at: float = 0
        self._requests = RequestTable(self.shares)
        self.rebuild = Rebuild(service, epoch)
        self._runs = Runs(self.pool, self.shares, self.run_times)
        self.grants = self._runs.grants
        self._admission = Admission(
            self.pool, self.shares, self.run_times, self.quotas
        )
        self._dispatcher = Dispatcher(
            epoch, self.pool, self.shares, self.run_times, self._runs
        )

    @property
    def waiting(self) -> int:
        """Return the number of waiting slot requests."""
        return self.shares.waiting

    def start(self, now: float, members: Collection[str]) -> list[QueueMessage]:
        """Take over the queue; grants start after the entries have reported.

        :param members: names of the live daemons.
        :returns: requests for the reports of all members.
        """
        return self.rebuild.start(now, members)

    def set_members(
        self,
        now: float,
        members: Collection[str],
    ) -> list[QueueMessage]:
        """Drop the slot requests of entries that are no longer members."""
        self.rebuild.set_members(members)
        for queued in self._requests.list_orphans(members):
            self._requests.close(queued)
        return self._dispatch(now)

    def set_targets(
        self,
        now: float,
        targets: Iterable[Target],
    ) -> list[QueueMessage]:
        """Replace the targets of the service."""
        self.pool.replace(now, targets)
        return self._dispatch(now)

    def mark_leaving(self, now: float, target: str) -> list[QueueMessage]:
        """Stop granting slots of a target that is leaving."""
        self.pool.mark_leaving(target)
        return self._dispatch(now)

    def set_limits(
        self,
        now: float,
        kind_weights: Mapping[str, float],
        quotas: Mapping[str, Quota],
    ) -> list[QueueMessage]:
        """Replace weights and quotas.

        :param kind_weights: weight of each kind; 1 for kinds not named.
        :param quotas: quotas by calling team; ``*`` for teams not named.
        """
        self.quotas.set_limits(now, quotas)
        self.shares.set_weights(_make_weight_function(kind_weights, quotas))
        return self._dispatch(now)

    def request_slot(
        self, now: float, slot_request: SlotRequest
    ) -> list[QueueMessage]:
        """Answer a slot request at once or queue it."""
        earlier = self._answer_repeat(slot_request)
        if earlier is not None:
            return earlier
        refusal = self._admission.check(now, slot_request)
        if refusal is not None:
            return [self._refuse_new(slot_request, refusal)]
        return self._enqueue(now, slot_request)

    def cancel(self, now: float, slot_request_id: str) -> list[QueueMessage]:
        """Cancel a slot request whose caller disconnected, in constant time."""
        grant = self.grants.get(slot_request_id)
        if grant is not None:
            return self._end_and_dispatch(now, grant, RunOutcome.CANCELLED)
        queued = self._requests.get(slot_request_id)
        if queued is not None:
            self._requests.close(queued)
        self._requests.record_answer(slot_request_id, None)
        return []

    def release(self, now: float, message: ReleaseSlot) -> list[QueueMessage]:
        """Free a slot and record the outcome and run time of its run."""
        grant = self.grants.get(message.slot_request_id)
        if grant is None or grant.message.grant != message.grant:
            return []
        run_outcome = RunOutcome(message.outcome)
        self._runs.record_run_time(now, grant, run_outcome, message.run_time)
        return self._end_and_dispatch(now, grant, run_outcome)

    def tick(self, now: float) -> list[QueueMessage]:
        """Expire grants and requests; resize the reserve for short work."""
        outgoing = self.rebuild.tick(now)
        for grant in self.grants.list_expired(now):
            self._end_grant(now, grant, RunOutcome.CANCELLED)
        outgoing.extend(
            self._refuse_queued(queued, _make_late_refusal(queued.slot_request))
            for queued in self._requests.pop_due(now)
        )
        if now - self._sized_at >= RESERVE_INTERVAL:
            self._sized_at = now
            self._runs.size_reserve(now)
        return outgoing + self._dispatch(now)

    def report(self, now: float, message: ReportSlots) -> list[QueueMessage]:
        """Adopt the grants and the slot requests that an entry reports."""
        if message.owner_epoch != self.epoch:
            return []
        reported: set[str] = set()
        for fields in message.running:
            running = RunningGrant(*fields)
            reported.add(running.slot_request_id)
            self._adopt_reported(now, message.entry, running)
        for grant in self.grants.list_missing(now, message.entry, reported):
            self._end_grant(now, grant, RunOutcome.CANCELLED)
        self.rebuild.mark_reported(message.entry)
        outgoing: list[QueueMessage] = []
        for row in message.waiting:
            slot_request = SlotRequest(*row)
            # The entry has returned a grant that it did not use, since
            # another daemon owned the queue for a moment.
            self._requests.reopen(slot_request.slot_request_id)
            outgoing.extend(self.request_slot(now, slot_request))
        return outgoing + self._dispatch(now)

    def _answer_repeat(
        self, slot_request: SlotRequest
    ) -> list[QueueMessage] | None:
        """Return the answer to a repeated request, ``None`` for a new one."""
        if self._requests.get(slot_request.slot_request_id) is not None:
            return []
        grant = self.grants.get(slot_request.slot_request_id)
        if grant is not None and grant.adopted:
            return []
        if grant is not None:
            return [QueueMessage(grant.entry, grant.message)]
        if not self._requests.is_closed(slot_request.slot_request_id):
            return None
        refusal = self._requests.get_refusal(slot_request.slot_request_id)
        return (
            []
            if refusal is None
            else [QueueMessage(slot_request.entry, refusal)]
        )

    def _enqueue(
        self, now: float, slot_request: SlotRequest
    ) -> list[QueueMessage]:
        queued = self._requests.make_entry(now, slot_request)
        if self.rebuild.is_done(now):
            refusal = self._admission.check_wait(now, queued)
            if refusal is not None:
                return [self._refuse_new(slot_request, refusal)]
        self._requests.add(queued)
        return self._dispatch(now) + self._shed(now)

    def _shed(self, now: float) -> list[QueueMessage]:
        if self.shares.waiting <= self._max_waiting:
            return []
        victim = self._admission.find_victim(now)
        if victim is None:
            return []
        refusal = make_refusal(
            victim.slot_request, ErrorKind.OVERLOADED, 1, _QUEUE_FULL
        )
        return [self._refuse_queued(victim, refusal)]

    def _dispatch(self, now: float) -> list[QueueMessage]:
        if not self.rebuild.is_done(now):
            return []
        return [
            self._answer(queued, answer)
            for queued, answer in self._dispatcher.run(now)
        ]

    def _answer(
        self, queued: QueuedRequest, answer: SlotAnswer
    ) -> QueueMessage:
        if isinstance(answer, RefuseSlot):
            return self._refuse_queued(queued, answer)
        self._requests.close(queued)
        return QueueMessage(queued.slot_request.entry, answer)

    def _refuse_new(
        self, slot_request: SlotRequest, refusal: RefuseSlot
    ) -> QueueMessage:
        self._requests.record_answer(slot_request.slot_request_id, refusal)
        return QueueMessage(slot_request.entry, refusal)

    def _refuse_queued(
        self, queued: QueuedRequest, refusal: RefuseSlot
    ) -> QueueMessage:
        self._requests.close(queued)
        return self._refuse_new(queued.slot_request, refusal)

    def _end_and_dispatch(
        self,
        now: float,
        grant: Grant,
        run_outcome: RunOutcome,
    ) -> list[QueueMessage]:
        self._end_grant(now, grant, run_outcome)
        return self._dispatch(now)

    def _end_grant(
        self, now: float, grant: Grant, run_outcome: RunOutcome
    ) -> None:
        self._runs.end(now, grant, run_outcome)
        self._requests.record_answer(grant.message.slot_request_id, None)

    def _adopt_reported(
        self, now: float, entry: str, row: RunningGrant
    ) -> None:
        earlier = self.grants.get(row.slot_request_id)
        if earlier is not None and _agrees_with_report(earlier, row):
            self._runs.renew(now, earlier)
            return
        if earlier is not None:
            # The entry served the request from its static share and returns
            # the grant, so the reported run replaces the known grant.
            self._runs.end(now, earlier, RunOutcome.CANCELLED)
            self._runs.adopt(now, entry, row)
            return
        if self._requests.is_closed(row.slot_request_id):
            return
        queued = self._requests.get(row.slot_request_id)
        if queued is not None:
            self._requests.close(queued)
        self._runs.adopt(now, entry, row)


def _make_late_refusal(slot_request: SlotRequest) -> RefuseSlot:
    return make_refusal(
        slot_request, ErrorKind.DEADLINE_EXCEEDED, 1, _NO_SLOT_IN_TIME
    )


def _agrees_with_report(grant: Grant, row: RunningGrant) -> bool:
    return bool(row.grant) or grant.message.grant == row.grant


def _make_weight_function(
    kind_weights: Mapping[str, float],
    quotas: Mapping[str, Quota],
) -> Callable[[ShareKey], float]:
    by_kind = dict(kind_weights)
    by_team = {team: quota.weight for team, quota in quotas.items()}
    default_weight = by_team.get(ANY_TEAM, 1)

    def get_weight(key: ShareKey) -> float:
        team, kind = key
        return by_team.get(team, default_weight) * by_kind.get(kind, 1)

    return get_weight
