"""Acknowledgement of the run ends that workers report."""

from collections.abc import Sequence

from verbenapost.protocol.orders import RunEnd


class RunEndTracker:
    """Tracks which run ends of one worker's log have been stored.

    Explanation
    ===========

    A worker deletes all ends up to the acknowledged number. Ends from two
    reports may be stored in either order, so the acknowledged number stays
    below the first end that has not been stored.

    Examples
    ========

    >>> from verbenapost.protocol.orders import RunEndKind
    >>> from verbenapost.state.workloads import TaskKey
    >>> def make(number):
    ...     key = TaskKey('5c0e7a21d94b36f8', 0, 0, number)
    ...     return RunEnd(number, key, 1, RunEndKind.DONE, '')
    >>> tracker = RunEndTracker()
    >>> first = tracker.filter_new([make(1)])
    >>> second = tracker.filter_new([make(1), make(2)])
    >>> [end.number for end in second]
    [2]
    >>> tracker.note_stored(second)
    >>> tracker.acknowledged
    0
    >>> tracker.note_stored(first)
    >>> tracker.acknowledged
    2
    """

    def __init__(self) -> None:
        self.acknowledged = 0
        self._last_number = 0
        self._unstored: set[int] = set()

    def filter_new(self, ends: Sequence[RunEnd]) -> list[RunEnd]:
        """Return the reported ends that earlier calls have not returned."""
        fresh = [end for end in ends if end.number > self._last_number]
        numbers = [end.number for end in fresh]
        self._last_number = max([self._last_number, *numbers])
        self._unstored.update(numbers)
        return fresh

    def note_stored(self, ends: Sequence[RunEnd]) -> None:
        """Record that the changes caused by these ends have been stored."""
        self._unstored.difference_update(end.number for end in ends)
        first = min(self._unstored, default=self._last_number + 1)
        self.acknowledged = max(self.acknowledged, first - 1)
