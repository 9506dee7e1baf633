"""Slots of an entry while no owner of a queue answers."""

from collections.abc import Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.staticshares import StaticShares
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import AskSlot, GrantSlot, RequestReport

#: Seconds for which an ask waits for an owner that is taking over.
PATIENCE = 0.3

#: Number of the grants that an entry gives itself.
OWN_GRANT = 0

#: Seconds that a slot of the own share may be used.
_UNBOUNDED = 0


@final
class OwnerState:
    """What an entry knows of the owner of one queue.

    :param shares: part of the slots that the entry may use by itself.
    """

    def __init__(self, shares: StaticShares) -> None:
        self.shares = shares
        self.owner: str | None = None
        self.epoch = 0
        self.ready = False
        self.heard_at: float | None = None
        self.unreported = False

    def see(self, owner: str | None) -> None:
        """Start anew when the owner is another one."""
        if owner != self.owner:
            self.owner = owner
            self.lose()

    def lose(self) -> None:
        """Rely on the owner no more until it is heard."""
        self.ready = False
        self.heard_at = None

    def may_use_own(self, now: float, asked_at: float) -> bool:
        """Tell whether an ask may use the entry's own share.

        :param asked_at: monotonic seconds of the ask.
        """
        if self.ready:
            return False
        if self.heard_at is None:
            return True
        return now - max(self.heard_at, asked_at) >= PATIENCE


@final
class Fallback:
    """Static shares of all services and when they may be used.

    Explanation
    ===========

    An owner is ready when it says so or grants. Until a new owner has asked
    for a report its entries use their shares at once; after that an ask
    waits ``PATIENCE`` for it first, since its answer is near.

    :param name: name of this daemon.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: tuple[str, ...] = (name,)
        self._states: dict[str, OwnerState] = {}

    def get(self, service: str) -> OwnerState:
        """Return the state of a service, made when missing."""
        state = self._states.get(service)
        if state is None:
            state = OwnerState(StaticShares(self._name))
            state.shares.set_members(self._members)
            self._states[service] = state
        return state

    def list_states(self) -> Iterable[tuple[str, OwnerState]]:
        """Return the known services with their states."""
        return self._states.items()

    def set_members(self, members: Collection[str]) -> None:
        """Replace the live members among which slots are divided."""
        self._members = tuple(members)
        for state in self._states.values():
            state.shares.set_members(members)

    def set_targets(self, targets: Mapping[str, Iterable[Target]]) -> None:
        """Replace the targets of every service."""
        for service in targets:
            self.get(service)
        for service, state in self._states.items():
            state.shares.set_targets(targets.get(service, ()))

    def mark_leaving(self, target: str) -> None:
        """Use a target no more."""
        for state in self._states.values():
            state.shares.mark_leaving(target)

    def lose_owner(self, owner: str) -> None:
        """Note that an owner can not be reached."""
        for state in self._states.values():
            if state.owner == owner:
                state.lose()

    def hear(self, now: float, sender: str, request: RequestReport) -> bool:
        """Note the request of a new owner.

        :returns: whether the sender is newer than the known owner.
        """
        state = self.get(request.service)
        if request.owner_epoch < state.epoch and sender != state.owner:
            return False
        if request.owner_epoch != state.epoch or state.heard_at is None:
            state.epoch = request.owner_epoch
            state.ready = False
            state.heard_at = now
        return True

    def is_stale(self, sender: str, grant: GrantSlot) -> bool:
        """Tell whether a grant comes from an owner that was replaced."""
        state = self.get(grant.service)
        if grant.owner_epoch < state.epoch:
            return True
        newer = state.epoch and grant.owner_epoch > state.epoch
        return bool(newer) and sender != state.owner

    def confirm(self, sender: str, service: str, epoch: int) -> None:
        """Rely on an owner that says that it is ready, or grants."""
        state = self.get(service)
        if sender == state.owner and epoch >= state.epoch:
            state.epoch = epoch
            state.ready = True

    def grant(
        self,
        now: float,
        ask: AskSlot,
        asked_at: float,
    ) -> GrantSlot | None:
        """Give a slot of the own share where that is allowed.

        :param asked_at: monotonic seconds of the ask.
        """
        state = self.get(ask.service)
        if not state.may_use_own(now, asked_at):
            return None
        target = state.shares.acquire(ask.avoid)
        if target is None:
            return None
        state.unreported = True
        return GrantSlot(
            ask.ask_id,
            OWN_GRANT,
            target.name,
            target.address,
            _UNBOUNDED,
            ask.service,
        )
