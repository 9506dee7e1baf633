"""Entries of a worker that show another start than the known one."""

from typing import Any, Protocol

from result import Err, Result

from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.state.workloads import WorkerEntry


class FollowingLink(Protocol):
    """Link to a worker whose entry may name another start.

    :ivar ended: whether the worker's incarnation has ended.
    :ivar worker: the worker.
    :ivar ports: dependencies of the link.
    """

    ended: bool
    worker: Worker
    ports: LinkPorts

    def restart(self, started_at_ms: int) -> None:
        """Follow the worker's next incarnation."""

    def end_incarnation(self, reason: str, *, crashed: bool = False) -> None:
        """End the incarnation and free its tasks."""

    def count_call(self, kind: str, answer: Result[Any, CallFault]) -> None:
        """Count a call by its outcome."""

    def handle_final_fault(self, fault: CallFault, asked: WorkerEntry) -> bool:
        """Handle a fault that ends the leadership or the incarnation."""


class UnconfirmedEntry:
    """An entry of another incarnation, for its worker to confirm.

    Explanation
    ===========

    The entry may have been written by an earlier incarnation whose write took
    effect late, or by another writer. Nothing is started on the worker until
    it has answered. Its tasks are freed only then, since they may still run.

    :param link: link to the worker.
    :ivar entry: the entry, if any.
    """

    def __init__(self, link: FollowingLink) -> None:
        self.entry: WorkerEntry | None = None
        self._link = link
        self._noted_at: float = 0

    def note(self, entry: WorkerEntry) -> None:
        """Record an entry of another incarnation."""
        self.entry = entry
        self._noted_at = read_clock()
        self._link.worker.listed = False
        self._link.ports.log.info(
            'worker entry of another incarnation',
            worker=entry.worker,
            known=self._link.worker.entry.started_at_ms,
            born=entry.started_at_ms,
            pool=entry.service,
        )

    def drop(self) -> None:
        """Forget the entry, which a newer one has replaced."""
        self.entry = None

    async def check(self) -> None:
        """Ask at the entry's address, since the known one doesn't answer."""
        entry = self.entry
        ports = self._link.ports
        if entry is None or not ports.election.holds_lease():
            return
        sent_at = read_clock()
        answer = await ports.client.hold(
            entry, ports.election.token, 0, None, 0
        )
        self._link.count_call('hold', answer)
        if self._link.ended or self.entry is not entry:
            return
        if not isinstance(answer, Err):
            if not self.follow(answer.ok_value.started_at_ms):
                self.refute(sent_at)
        elif answer.err_value.kind is CallFaultKind.FENCED:
            self._link.handle_final_fault(answer.err_value, entry)

    def follow(self, started_at_ms: int | None) -> bool:
        """Follow the incarnation of the entry if it is the one that answered.

        :param started_at_ms: start of the incarnation that answered.
        :returns: whether the entry is of that incarnation.
        """
        entry = self.entry
        if entry is None or entry.started_at_ms != started_at_ms:
            return False
        if entry.service == self._link.worker.entry.service:
            self._link.restart(started_at_ms)
        else:
            # The entry stays, so that the worker gets a link in its new pool.
            self._link.end_incarnation('it has started again in another pool')
        return True

    def refute(self, sent_at: float) -> None:
        """Forget an entry whose worker still is the known incarnation.

        :param sent_at: local seconds at which the worker was asked.
        """
        entry = self.entry
        if entry is None or sent_at < self._noted_at:
            return
        self.entry = None
        self._link.worker.listed = True
        self._link.ports.log.warning(
            'worker entry not confirmed',
            worker=entry.worker,
            born=entry.started_at_ms,
        )
