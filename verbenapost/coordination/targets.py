"""Slots of the targets of one service."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import final

from verbenapost.coordination.freeslots import FreeSlots
from verbenapost.coordination.outliers import Outliers, RunEnd


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A worker that a service may use.

    :param name: name of the VM.
    :param address: ``IP:port`` of the worker process.
    :param slots: requests that it runs together.
    :param generation: grows when the VM comes back after it left.
    :param lender: service whose owner lends the slots, or empty.
    """

    name: str
    address: str
    slots: int
    generation: int = 0
    lender: str = ''


@final
class TargetSlots:
    """Use of the slots of one target.

    :param on_change: called when the use has changed.
    """

    def __init__(
        self,
        target: Target,
        on_change: Callable[['TargetSlots'], None],
    ) -> None:
        self.target = target
        self.used = 0
        self.long_used = 0
        self.lent = 0
        self.leaving = False
        self.removed = False
        self.reserve = 0
        self.turn = 0
        self._on_change = on_change

    @property
    def busy(self) -> int:
        """Return the slots in use, lent ones included."""
        return self.used + self.lent

    def lend(self, slots: int) -> None:
        """Count slots more as lent, or fewer."""
        self.lent += slots
        self._on_change(self)

    def use(self, slots: int, *, long: bool) -> None:
        """Count slots more as used, or fewer."""
        self.used += slots
        self.long_used += slots * long
        self._on_change(self)

    def can_take(self, limit: int, *, long: bool) -> bool:
        """Tell whether one more run may start.

        :param limit: slots that may be used now.
        :param long: the run is of a long kind.
        """
        if self.busy >= limit:
            return False
        return not long or self.long_used + self.lent < limit - self.reserve


@final
class TargetPool:
    """Chooses a target for each run.

    Explanation
    ===========

    A target that leaves or is ejected gets no new run from that moment; what
    it runs is still counted. Of the free targets the least used one is
    chosen, own targets before borrowed ones.

    Examples
    ========

    >>> pool = TargetPool()
    >>> pool.replace(0, [Target('vm-1', '127.0.0.1:80', 1)])
    >>> pool.pick(0, ()).target.name
    'vm-1'
    >>> pool.take('vm-1', long=False)
    >>> pool.pick(0, ()) is None
    True
    """

    def __init__(self) -> None:
        self.outliers = Outliers()
        self._slots: dict[str, TargetSlots] = {}
        self._turn = 0
        self._free: FreeSlots | None = None
        self._version = 0

    def __iter__(self) -> Iterator[TargetSlots]:
        return iter(self._slots.values())

    def get(self, name: str) -> TargetSlots | None:
        """Return the state of a target."""
        return self._slots.get(name)

    def replace(self, now: float, targets: Iterable[Target]) -> None:
        """Replace the service's own targets."""
        fresh = {target.name: target for target in targets}
        for name, slots in tuple(self._slots.items()):
            if name not in fresh and not slots.target.lender:
                self.remove(name)
        for target in fresh.values():
            self.put(target)

    def put(self, target: Target) -> None:
        """Add a target or change it."""
        self._free = None
        slots = self._slots.get(target.name)
        if slots is None:
            self._slots[target.name] = TargetSlots(target, self._note)
            self.outliers.add(target.name)
            return
        newer = target.generation > slots.target.generation
        if slots.removed or newer:
            slots.leaving = False
            slots.removed = False
        slots.target = target

    def remove(self, name: str) -> None:
        """Give a target no new run and forget it when it is empty."""
        slots = self._slots.get(name)
        if slots is not None:
            self.remove_later(name)
            self._forget(slots)

    def mark_leaving(self, name: str) -> None:
        """Give a target no new run until it comes back anew."""
        slots = self._slots.get(name)
        if slots is not None:
            slots.leaving = True
            self._free = None

    def list_usable(self, now: float) -> list[tuple[TargetSlots, int]]:
        """Return the targets that may get work and their limits."""
        return self._find_free(now).rows

    def count_slots(self, now: float) -> int:
        """Return the slots that may be used now, busy ones included."""
        return self._find_free(now).slots

    def has_members(self) -> bool:
        """Tell whether any target is not leaving."""
        return any(not slots.leaving for slots in self)

    def has_free(self, now: float, *, long: bool = False) -> bool:
        """Tell whether a run may start now."""
        return self._find_free(now).find(long=long) is not None

    def pick(
        self,
        now: float,
        avoid: Collection[str],
        *,
        long: bool = False,
    ) -> TargetSlots | None:
        """Return the free target to use next.

        :param avoid: names to pass over while any other is usable.
        """
        if not avoid:
            return self._find_free(now).find(long=long)
        usable = self.list_usable(now)
        others = [row for row in usable if row[0].target.name not in avoid]
        free = [
            (_rank(slots, limit), slots)
            for slots, limit in others or usable
            if slots.can_take(limit, long=long)
        ]
        return min(free, key=_get_rank)[1] if free else None

    def take(self, name: str, *, long: bool) -> None:
        """Use a slot."""
        slots = self._slots[name]
        self._turn += 1
        slots.turn = self._turn
        slots.use(1, long=long)

    def adopt(self, name: str, *, long: bool) -> None:
        """Count a run that an earlier owner or an entry started."""
        if name not in self._slots:
            self.put(Target(name, '', 0))
            self.remove_later(name)
        self.take(name, long=long)

    def remove_later(self, name: str) -> None:
        """Mark a target as unknown to the service."""
        slots = self._slots[name]
        slots.leaving = True
        slots.removed = True
        self._free = None

    def give_back(self, name: str, *, long: bool) -> None:
        """Free a slot."""
        slots = self._slots[name]
        slots.use(-1, long=long)
        self._forget(slots)

    def record(self, now: float, name: str, end: RunEnd) -> None:
        """Judge a target by the end of a run."""
        self.outliers.record(now, name, end)

    def set_reserve(self, now: float, reserve: int) -> None:
        """Spread the slots kept for short work over the usable targets."""
        usable = [slots for slots, _ in self.list_usable(now)]
        for index, slots in enumerate(usable):
            each, rest = divmod(reserve, len(usable))
            slots.reserve = each + (index < rest)
        self._free = None

    def _find_free(self, now: float) -> FreeSlots:
        free = self._free
        known = free is not None and free.holds(now)
        if free is None or not known or self._version != self.outliers.version:
            free = self._sort_free(now)
            self._free = free
            self._version = self.outliers.version
        return free

    def _sort_free(self, now: float) -> FreeSlots:
        limits = (
            (slots, _find_limit(self.outliers, now, slots)) for slots in self
        )
        rows = [(slots, limit) for slots, limit in limits if limit]
        return FreeSlots(rows, now, self.outliers.find_change(now))

    def _note(self, slots: TargetSlots) -> None:
        if self._free is not None:
            self._free.note(slots)

    def _forget(self, slots: TargetSlots) -> None:
        if slots.removed and not slots.busy:
            self._free = None
            self._slots.pop(slots.target.name, None)
            self.outliers.drop(slots.target.name)


def _find_limit(outliers: Outliers, now: float, slots: TargetSlots) -> int:
    if slots.leaving:
        return 0
    target = slots.target
    return outliers.limit(now, target.name, target.slots)


def _rank(slots: TargetSlots, limit: int) -> tuple[bool, float, int]:
    return bool(slots.target.lender), slots.busy / limit, slots.turn


def _get_rank(
    row: tuple[tuple[bool, float, int], TargetSlots],
) -> tuple[bool, float, int]:
    return row[0]
