"""Holds the queues that this daemon owns."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.overflow import LoanDesk
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.targetlists import list_targets
from verbenapost.protocol.slots import (
    AskSlot,
    CancelAsk,
    Envelope,
    QueueReady,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
)
from verbenapost.state.configuration import ANY, ConfigurationView, OwnedService
from verbenapost.state.documents import Quota

#: Milliseconds of a second.
MILLISECONDS = 1000

Send = Callable[[str, Any], bool]
Clock = Callable[[], float]
OwnerOf = Callable[[str], str | None]


class QueueHost:
    """Creates, feeds and drops the queues as their owner changes.

    :param name: name of this daemon.
    :param send: sends to a member.
    :param owner_of: returns the owner of a service's queue now.
    :param clock: returns monotonic seconds.
    :param metrics: counts.
    """

    def __init__(
        self,
        name: str,
        send: Send,
        owner_of: OwnerOf,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._send = send
        self._owner_of = owner_of
        self._clock = clock
        self._metrics = metrics
        self._queues: dict[str, ServiceQueue] = {}
        self._loans = LoanDesk(self._queues, self._post, clock)
        self._announced: set[str] = set()
        self._members: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._log = make_logger('queue')

    @property
    def services(self) -> Collection[str]:
        """Services whose queue is held here."""
        return self._queues.keys()

    @property
    def leaving(self) -> Collection[str]:
        """VMs that the platform takes away."""
        return self._leaving

    def register_routes(self, router: MessageRouter) -> None:
        """Take the messages of the slot protocol for the owning side."""
        router.register(AskSlot)(self._take_ask)
        router.register(CancelAsk)(self._take_cancel)
        router.register(ReleaseSlot)(self._take_release)
        router.register(ReportSlots)(self._take_report)
        self._loans.register_routes(router)

    def settle(self, services: Iterable[str], members: Collection[str]) -> None:
        """Create the queues that this daemon owns now and drop the others.

        :param services: all services of the configuration.
        :param members: live members, this daemon included.
        """
        owned = {name for name in services if self._owns(name)}
        for lost in set(self._queues) - owned:
            self._queues.pop(lost)
            self._announced.discard(lost)
            self._loans.drop(lost)
            self._metrics.queue_length.drop(lost)
            self._log.info('queue given up', service=lost)
        for service in sorted(owned):
            self._settle_queue(service, members)
        self._members = frozenset(members)
        self._metrics.duties.put(len(self._queues), 'queue_owner')

    def configure(self, view: ConfigurationView, vms: VmDirectory) -> None:
        """Give the queues their limits and targets."""
        for service, queue in self._queues.items():
            owned = view.services.get(service)
            if owned is not None:
                self._configure_queue(queue, owned, view, vms)
        self._loans.configure(view)

    def measure(self, service: str) -> tuple[int, int]:
        """Return the running and waiting requests of a queue held here."""
        queue = self._queues.get(service)
        return (len(queue.grants), queue.waiting) if queue else (0, 0)

    def is_leaving(self, name: str) -> bool:
        """Tell whether the platform takes a VM away."""
        return name in self._leaving

    def set_leaving(self, names: Collection[str]) -> None:
        """Give no new work to VMs that the platform takes away."""
        for name in sorted(set(names) - self._leaving):
            for queue in self._queues.values():
                self._post(queue.mark_leaving(self._clock(), name))
        self._leaving = frozenset(names)

    def tick(self) -> None:
        """Let time pass in every queue."""
        now = self._clock()
        for service, queue in self._queues.items():
            self._post(queue.tick(now))
            self._announce(queue, ())
            self._count_soft(queue)
            self._metrics.queue_length.put(queue.waiting, service)
        self._loans.tick()

    def _owns(self, service: str) -> bool:
        return self._owner_of(service) == self._name

    def _settle_queue(self, service: str, members: Collection[str]) -> None:
        queue = self._queues.get(service)
        if queue is None:
            self._open(service, members)
            return
        self._post(queue.set_members(self._clock(), members))
        # What a member asked before it was seen here may have been dropped.
        for member in sorted(set(members) - self._members):
            self._send(member, RequestReport(service, queue.epoch))

    def _open(self, service: str, members: Collection[str]) -> None:
        epoch = _make_epoch()
        queue = ServiceQueue(service, epoch)
        self._queues[service] = queue
        self._post(queue.start(self._clock(), members))
        self._log.info('queue taken over', service=service)

    def _configure_queue(
        self,
        queue: ServiceQueue,
        owned: OwnedService,
        view: ConfigurationView,
        vms: VmDirectory,
    ) -> None:
        now = self._clock()
        quotas = _find_quotas(view, queue.service, owned.team)
        weights = owned.spec.weights
        self._post(queue.set_limits(now, weights, quotas))
        targets = list_targets(owned.spec, vms, self._leaving)
        self._post(queue.set_targets(now, targets))

    def _take_ask(self, _sender: str, ask: AskSlot) -> None:
        queue = self._queues.get(ask.service)
        # An entry with another view asks again when its view changes.
        if queue is not None:
            self._post(queue.ask(self._clock(), ask))

    def _take_cancel(self, _sender: str, cancel: CancelAsk) -> None:
        queue = self._queues.get(cancel.service)
        if queue is not None:
            self._post(queue.cancel(self._clock(), cancel.ask_id))

    def _take_release(self, _sender: str, release: ReleaseSlot) -> None:
        queue = self._queues.get(release.service)
        if queue is not None:
            self._post(queue.release(self._clock(), release))

    def _take_report(self, sender: str, report: ReportSlots) -> None:
        queue = self._queues.get(report.service)
        if queue is None:
            return
        if report.owner_epoch == queue.epoch:
            self._post(queue.report(self._clock(), report))
            self._announce(queue, (sender,))
        else:
            # The entry knows another owner; it reports again for this one.
            request = RequestReport(report.service, queue.epoch)
            self._send(sender, request)

    def _announce(self, queue: ServiceQueue, members: Iterable[str]) -> None:
        """Tell members that the queue gives slots, all of them once."""
        if not queue.rebuild.is_done(self._clock()):
            return
        service = queue.service
        receivers = set(members)
        if service not in self._announced:
            self._announced.add(service)
            receivers.update(self._members)
        for member in sorted(receivers):
            self._send(member, QueueReady(service, queue.epoch))

    def _count_soft(self, queue: ServiceQueue) -> None:
        counted = queue.quotas.would_refuse
        for team, amount in counted.items():
            series = self._metrics.soft_refusals
            series.add(queue.service, team, amount=amount)
        counted.clear()

    def _post(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            receiver: str | None = envelope.to
            if envelope.to_owner:
                receiver = self._owner_of(envelope.to)
            if receiver is not None:
                self._send(receiver, envelope.message)


def _find_quotas(
    view: ConfigurationView,
    service: str,
    team: str,
) -> Mapping[str, Quota]:
    quotas = view.teams[team].quotas
    found = {}
    for caller, rows in quotas.items():
        quota = rows.get(service) or rows.get(ANY)
        if quota is not None:
            found[caller] = quota
    return found


def _make_epoch() -> int:
    # Unix milliseconds: a later owner, on any VM, has a higher epoch.
    return int(time.time() * MILLISECONDS)
