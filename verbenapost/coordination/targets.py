"""Slot accounting of the targets of one service."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import final

from verbenapost.coordination.freeslots import FreeSlots
from verbenapost.coordination.outliers import Outliers, RunEnd


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A worker process that serves a service.

    :param name: name of the VM.
    :param address: ``IP:port`` of the worker process.
    :param slots: requests that the worker runs concurrently.
    :param generation: increases each time the VM returns to service.
    :param lender: service that lends the slots; empty for own targets.
    """

    name: str
    address: str
    slots: int
    generation: int = 0
    lender: str = ''


@final
class TargetSlots:
    """Slots in use at one target.

    :param target: the target.
    :param on_change: called after each change of the slots in use.
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
        self.last_use = 0
        self._on_change = on_change

    @property
    def busy(self) -> int:
        """Return the slots in use, lent ones included."""
        return self.used + self.lent

    def lend(self, slots: int) -> None:
        """Change the number of lent slots.

        :param slots: increase; negative for a decrease.
        """
        self.lent += slots
        self._on_change(self)

    def use(self, slots: int, *, long: bool) -> None:
        """Change the number of used slots.

        :param slots: increase; negative for a decrease.
        :param long: whether the runs are of a long kind.
        """
        self.used += slots
        self.long_used += slots * long
        self._on_change(self)

    def can_start(self, limit: int, *, long: bool) -> bool:
        """Return whether one more run may start.

        :param limit: slots that may be used now.
        :param long: whether the run is of a long kind.
        """
        if self.busy >= limit:
            return False
        return not long or self.long_used + self.lent < limit - self.reserve


@final
class TargetPool:
    """Chooses a target for each run.

    Explanation
    ===========

    A target that is leaving or ejected gets no new runs; its current runs
    stay counted. Among the free targets the one with the lowest load is
    chosen, and own targets are preferred to borrowed ones.

    Examples
    ========

    >>> pool = TargetPool()
    >>> pool.replace(0, [Target('vm-1', '127.0.0.1:80', 1)])
    >>> pool.pick(0, ()).target.name
    'vm-1'
    >>> pool.acquire('vm-1', long=False)
    >>> pool.pick(0, ()) is None
    True
    """

    def __init__(self) -> None:
        self.outliers = Outliers()
        self._slots: dict[str, TargetSlots] = {}
        self._use_count = 0
        self._free: FreeSlots | None = None
        self._version = 0

    def __iter__(self) -> Iterator[TargetSlots]:
        return iter(self._slots.values())

    def get(self, name: str) -> TargetSlots | None:
        """Return the state of a target."""
        return self._slots.get(name)

    def replace(self, now: float, targets: Iterable[Target]) -> None:
        """Replace the own targets of the service; borrowed ones stay."""
        new_targets = {target.name: target for target in targets}
        for name, target_slots in tuple(self._slots.items()):
            if name not in new_targets and not target_slots.target.lender:
                self.remove(name)
        for target in new_targets.values():
            self.put(target)

    def put(self, target: Target) -> None:
        """Add or update a target.

        A removed target and one of a newer generation get runs again.
        """
        self._free = None
        target_slots = self._slots.get(target.name)
        if target_slots is None:
            self._slots[target.name] = TargetSlots(target, self._update_free)
            self.outliers.add(target.name)
            return
        newer = target.generation > target_slots.target.generation
        if target_slots.removed or newer:
            target_slots.leaving = False
            target_slots.removed = False
        target_slots.target = target

    def remove(self, name: str) -> None:
        """Start no new runs on a target; drop it once no slot is in use."""
        target_slots = self._slots.get(name)
        if target_slots is not None:
            self.mark_removed(name)
            self._drop_if_empty(target_slots)

    def mark_leaving(self, name: str) -> None:
        """Start no new runs on a target until it returns to service."""
        target_slots = self._slots.get(name)
        if target_slots is not None:
            target_slots.leaving = True
            self._free = None

    def list_usable(self, now: float) -> list[tuple[TargetSlots, int]]:
        """Return the targets that may get runs, with their slot limits."""
        return self._get_free(now).rows

    def count_slots(self, now: float) -> int:
        """Return the slots usable now, including those in use."""
        return self._get_free(now).slots

    def has_active_targets(self) -> bool:
        """Return whether any target is not leaving."""
        return any(not target_slots.leaving for target_slots in self)

    def has_free(self, now: float, *, long: bool = False) -> bool:
        """Return whether a run may start now."""
        return self._get_free(now).find_best(long=long) is not None

    def pick(
        self,
        now: float,
        avoid: Collection[str],
        *,
        long: bool = False,
    ) -> TargetSlots | None:
        """Return the free target to use next.

        :param avoid: names of targets to skip while any other is usable.
        :param long: whether the run is of a long kind.
        """
        if not avoid:
            return self._get_free(now).find_best(long=long)
        usable = self.list_usable(now)
        others = [row for row in usable if row[0].target.name not in avoid]
        free = [
            (_make_sort_key(target_slots, limit), target_slots)
            for target_slots, limit in others or usable
            if target_slots.can_start(limit, long=long)
        ]
        return min(free, key=_get_sort_key)[1] if free else None

    def acquire(self, name: str, *, long: bool) -> None:
        """Count one slot of a target as used."""
        target_slots = self._slots[name]
        self._use_count += 1
        target_slots.last_use = self._use_count
        target_slots.use(1, long=long)

    def adopt(self, name: str, *, long: bool) -> None:
        """Count a run that an earlier owner or an entry started.

        A target that is not known is added without slots and dropped after
        its last run.
        """
        if name not in self._slots:
            self.put(Target(name, '', 0))
            self.mark_removed(name)
        self.acquire(name, long=long)

    def mark_removed(self, name: str) -> None:
        """Mark a target as removed from the service."""
        target_slots = self._slots[name]
        target_slots.leaving = True
        target_slots.removed = True
        self._free = None

    def release(self, name: str, *, long: bool) -> None:
        """Free one slot of a target."""
        target_slots = self._slots[name]
        target_slots.use(-1, long=long)
        self._drop_if_empty(target_slots)

    def record(self, now: float, name: str, end: RunEnd) -> None:
        """Record the end of a run for outlier detection."""
        self.outliers.record(now, name, end)

    def set_reserve(self, now: float, reserve: int) -> None:
        """Spread the slots reserved for short runs over the usable targets."""
        usable = [target_slots for target_slots, _ in self.list_usable(now)]
        for index, target_slots in enumerate(usable):
            base, remainder = divmod(reserve, len(usable))
            target_slots.reserve = base + (index < remainder)
        self._free = None

    def _get_free(self, now: float) -> FreeSlots:
        free = self._free
        known = free is not None and free.is_valid(now)
        if free is None or not known or self._version != self.outliers.version:
            free = self._build_free(now)
            self._free = free
            self._version = self.outliers.version
        return free

    def _build_free(self, now: float) -> FreeSlots:
        limits = (
            (target_slots, _get_limit(self.outliers, now, target_slots))
            for target_slots in self
        )
        rows = [
            (target_slots, limit) for target_slots, limit in limits if limit
        ]
        return FreeSlots(rows, now, self.outliers.find_next_change(now))

    def _update_free(self, target_slots: TargetSlots) -> None:
        if self._free is not None:
            self._free.update(target_slots)

    def _drop_if_empty(self, target_slots: TargetSlots) -> None:
        if target_slots.removed and not target_slots.busy:
            self._free = None
            self._slots.pop(target_slots.target.name, None)
            self.outliers.drop(target_slots.target.name)


def _get_limit(
    outliers: Outliers, now: float, target_slots: TargetSlots
) -> int:
    if target_slots.leaving:
        return 0
    target = target_slots.target
    return outliers.get_limit(now, target.name, target.slots)


def _make_sort_key(
    target_slots: TargetSlots, limit: int
) -> tuple[bool, float, int]:
    return (
        bool(target_slots.target.lender),
        target_slots.busy / limit,
        target_slots.last_use,
    )


def _get_sort_key(
    row: tuple[tuple[bool, float, int], TargetSlots],
) -> tuple[bool, float, int]:
    return row[0]
