"""Host of the service queues that this daemon owns."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.queue import ServiceQueue
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.overflow import LoanManager
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.targetlists import list_targets
from verbenapost.protocol.slots import (
    CancelSlotRequest,
    QueueMessage,
    QueueReady,
    ReleaseSlot,
    ReportSlots,
    RequestReport,
    SlotRequest,
)
from verbenapost.state.configuration import ANY, ConfigurationView, OwnedService
from verbenapost.state.documents import Quota

#: Milliseconds per second.
MILLISECONDS_PER_SECOND = 1000

Send = Callable[[str, Any], bool]
Clock = Callable[[], float]
FindOwner = Callable[[str], str | None]


class QueueHost:
    """Creates, updates and drops queues as their owners change.

    :param name: name of this daemon.
    :param send: sends a message to a member.
    :param find_owner: returns the current owner of a service's queue.
    :param clock: returns monotonic seconds.
    :param metrics: metrics to update.
    """

    def __init__(
        self,
        name: str,
        send: Send,
        find_owner: FindOwner,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._send = send
        self._find_owner = find_owner
        self._clock = clock
        self._metrics = metrics
        self._queues: dict[str, ServiceQueue] = {}
        self._loans = LoanManager(self._queues, self._post, clock)
        self._announced: set[str] = set()
        self._members: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._log = make_logger('queue')

    @property
    def services(self) -> Collection[str]:
        """Services whose queue this daemon owns."""
        return self._queues.keys()

    @property
    def leaving(self) -> Collection[str]:
        """VMs that the platform is about to remove."""
        return self._leaving

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the owner's handlers of the slot protocol."""
        router.register(SlotRequest)(self._handle_slot_request)
        router.register(CancelSlotRequest)(self._handle_cancel)
        router.register(ReleaseSlot)(self._handle_release)
        router.register(ReportSlots)(self._handle_report)
        self._loans.register_handlers(router)

    def reconcile(
        self, services: Iterable[str], members: Collection[str]
    ) -> None:
        """Create newly owned queues and drop those no longer owned.

        :param services: all services of the configuration.
        :param members: live members, this daemon included.
        """
        owned = {name for name in services if self._owns(name)}
        for lost in set(self._queues) - owned:
            self._queues.pop(lost)
            self._announced.discard(lost)
            self._loans.drop(lost)
            self._metrics.queue_length.drop(lost)
            self._log.info('queue ownership released', service=lost)
        for service in sorted(owned):
            self._reconcile_queue(service, members)
        self._members = frozenset(members)
        self._metrics.duties.put(len(self._queues), 'queue_owner')

    def configure(self, view: ConfigurationView, vms: VmDirectory) -> None:
        """Update the limits and targets of the queues."""
        for service, queue in self._queues.items():
            owned = view.services.get(service)
            if owned is not None:
                self._configure_queue(queue, owned, view, vms)
        self._loans.configure(view)

    def count_requests(self, service: str) -> tuple[int, int]:
        """Return the numbers of running and waiting requests of a queue.

        Both are 0 for a queue that this daemon does not own.
        """
        queue = self._queues.get(service)
        return (len(queue.grants), queue.waiting) if queue else (0, 0)

    def is_leaving(self, name: str) -> bool:
        """Return whether the platform is about to remove a VM."""
        return name in self._leaving

    def set_leaving(self, names: Collection[str]) -> None:
        """Exclude VMs that the platform is about to remove from new work."""
        for name in sorted(set(names) - self._leaving):
            for queue in self._queues.values():
                self._post(queue.mark_leaving(self._clock(), name))
        self._leaving = frozenset(names)

    def tick(self) -> None:
        """Process the timeouts of all queues and send their messages."""
        now = self._clock()
        for service, queue in self._queues.items():
            self._post(queue.tick(now))
            self._announce(queue, ())
            self._count_soft_refusals(queue)
            self._metrics.queue_length.put(queue.waiting, service)
        self._loans.tick()

    def _owns(self, service: str) -> bool:
        return self._find_owner(service) == self._name

    def _reconcile_queue(self, service: str, members: Collection[str]) -> None:
        queue = self._queues.get(service)
        if queue is None:
            self._create_queue(service, members)
            return
        self._post(queue.set_members(self._clock(), members))
        # Slot requests that a member sent before it was known here may have
        # been dropped; its report repeats them.
        for member in sorted(set(members) - self._members):
            self._send(member, RequestReport(service, queue.epoch))

    def _create_queue(self, service: str, members: Collection[str]) -> None:
        epoch = _make_epoch()
        queue = ServiceQueue(service, epoch)
        self._queues[service] = queue
        self._post(queue.start(self._clock(), members))
        self._log.info('queue ownership acquired', service=service)

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

    def _handle_slot_request(
        self, _sender: str, slot_request: SlotRequest
    ) -> None:
        queue = self._queues.get(slot_request.service)
        # An entry with another view retries when its view changes.
        if queue is not None:
            self._post(queue.request_slot(self._clock(), slot_request))

    def _handle_cancel(self, _sender: str, cancel: CancelSlotRequest) -> None:
        queue = self._queues.get(cancel.service)
        if queue is not None:
            self._post(queue.cancel(self._clock(), cancel.slot_request_id))

    def _handle_release(self, _sender: str, release: ReleaseSlot) -> None:
        queue = self._queues.get(release.service)
        if queue is not None:
            self._post(queue.release(self._clock(), release))

    def _handle_report(self, sender: str, report: ReportSlots) -> None:
        queue = self._queues.get(report.service)
        if queue is None:
            return
        if report.owner_epoch == queue.epoch:
            self._post(queue.report(self._clock(), report))
            self._announce(queue, (sender,))
        else:
            # The report was made for another owner; request one for this
            # owner.
            request = RequestReport(report.service, queue.epoch)
            self._send(sender, request)

    def _announce(self, queue: ServiceQueue, members: Iterable[str]) -> None:
        """Announce that the queue grants slots, once to every member.

        :param members: members to notify in any case.
        """
        if not queue.rebuild.is_done(self._clock()):
            return
        service = queue.service
        receivers = set(members)
        if service not in self._announced:
            self._announced.add(service)
            receivers.update(self._members)
        for member in sorted(receivers):
            self._send(member, QueueReady(service, queue.epoch))

    def _count_soft_refusals(self, queue: ServiceQueue) -> None:
        counted = queue.quotas.would_refuse
        for team, amount in counted.items():
            series = self._metrics.soft_refusals
            series.add(queue.service, team, amount=amount)
        counted.clear()

    def _post(self, queue_messages: Iterable[QueueMessage]) -> None:
        for queue_message in queue_messages:
            receiver: str | None = queue_message.to
            if queue_message.to_owner:
                receiver = self._find_owner(queue_message.to)
            if receiver is not None:
                self._send(receiver, queue_message.message)


def _find_quotas(
    view: ConfigurationView,
    service: str,
    team: str,
) -> Mapping[str, Quota]:
    quotas = view.teams[team].quotas
    found = {}
    for caller, by_service in quotas.items():
        quota = by_service.get(service) or by_service.get(ANY)
        if quota is not None:
            found[caller] = quota
    return found


def _make_epoch() -> int:
    # Unix milliseconds, so that a later owner on any VM has a higher epoch.
    return int(time.time() * MILLISECONDS_PER_SECOND)
