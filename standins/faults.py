"""Faults of the store's stand-in, drawn at random for each call."""

import dataclasses
import enum
import random


@enum.unique
class CallOutcome(enum.Enum):
    """Outcome of one call."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    HUNG = 'hung'
    ANSWER_LOST = 'answer_lost'


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Active faults; each probability is between 0 and 1.

    :param latency: seconds before each answer.
    :param jitter: largest random addition to the latency in seconds.
    :param refuse: probability that a call is refused without an effect.
    :param hang: probability that a call takes effect late and its caller
        times out.
    :param hang_seconds: longest delay of a hung call's effect in seconds.
    :param lose_answer: probability that a call takes effect and its answer is
        lost.
    :param stale: probability that a read returns the value before the last
        change.
    :param prefix: prefix of the keys that are affected by the faults.
    """

    latency: float = 0
    jitter: float = 0
    refuse: float = 0
    hang: float = 0
    hang_seconds: float = 60
    lose_answer: float = 0
    stale: float = 0
    prefix: str = ''

    def draw_outcome(self, key: str, rng: random.Random) -> CallOutcome:
        """Draw the outcome of a call."""
        if not key.startswith(self.prefix):
            return CallOutcome.ANSWERED
        draw = rng.random()
        for outcome, probability in (
            (CallOutcome.REFUSED, self.refuse),
            (CallOutcome.HUNG, self.hang),
            (CallOutcome.ANSWER_LOST, self.lose_answer),
        ):
            if draw < probability:
                return outcome
            draw -= probability
        return CallOutcome.ANSWERED

    def draw_latency(self, rng: random.Random) -> float:
        """Draw the latency of a call in seconds."""
        if self.latency == 0 and self.jitter == 0:
            return 0
        return self.latency + self.jitter * rng.random()

    def draw_stale(self, key: str, rng: random.Random) -> bool:
        """Draw whether a read returns the previous value."""
        if self.stale == 0 or not key.startswith(self.prefix):
            return False
        return rng.random() < self.stale


def update_faults(faults: StoreFaults, changes: dict[str, object]) -> None:
    """Set the given fields and leave the others as they are.

    :raises ValueError: when there is no fault with a given name.
    :raises TypeError: when a value has a wrong type.
    """
    known = {field.name for field in dataclasses.fields(faults)}
    for name, new_value in changes.items():
        if name not in known:
            raise ValueError(f'{name} is no fault')
        expected = str if name == 'prefix' else (int, float)
        if not isinstance(new_value, expected):
            raise TypeError(f'{name} has a wrong type')
        setattr(faults, name, new_value)
