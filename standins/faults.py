"""Faults that the store's stand-in can be told to show."""

import dataclasses
import enum
import random


@enum.unique
class Fate(enum.Enum):
    """What happens to one call."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    HUNG = 'hung'
    ANSWER_LOST = 'answer_lost'


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults in force, as shares of the calls between 0 and 1.

    :param latency: seconds before each answer.
    :param jitter: seconds, most that is added to the latency.
    :param refuse: share of calls refused without an effect.
    :param hang: share of calls that take effect late and get no answer in
        time.
    :param hang_seconds: seconds, longest delay of a hung call's effect.
    :param lose_answer: share of calls that take effect and get no answer.
    :param stale: share of reads that show the value before the last change.
    :param prefix: the faults strike only keys with this prefix.
    """

    latency: float = 0
    jitter: float = 0
    refuse: float = 0
    hang: float = 0
    hang_seconds: float = 60
    lose_answer: float = 0
    stale: float = 0
    prefix: str = ''

    def draw_fate(self, key: str, chance: random.Random) -> Fate:
        """Decide what happens to a call."""
        if not key.startswith(self.prefix):
            return Fate.ANSWERED
        share = chance.random()
        for fate, limit in (
            (Fate.REFUSED, self.refuse),
            (Fate.HUNG, self.hang),
            (Fate.ANSWER_LOST, self.lose_answer),
        ):
            if share < limit:
                return fate
            share -= limit
        return Fate.ANSWERED

    def draw_latency(self, chance: random.Random) -> float:
        """Return the seconds that a call takes."""
        if self.latency == 0 and self.jitter == 0:
            return 0
        return self.latency + self.jitter * chance.random()

    def draw_stale(self, key: str, chance: random.Random) -> bool:
        """Return whether a read shows an earlier value."""
        if self.stale == 0 or not key.startswith(self.prefix):
            return False
        return chance.random() < self.stale


def update_faults(faults: StoreFaults, changes: dict[str, object]) -> None:
    """Set the named fields.

    :raises ValueError: when a name is no fault.
    :raises TypeError: when a value has a wrong type.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    for name, setting in changes.items():
        if name not in known:
            raise ValueError(f'{name} is no fault')
        expected = str if name == 'prefix' else (int, float)
        if not isinstance(setting, expected):
            raise TypeError(f'{name} has a wrong type')
        setattr(faults, name, setting)
