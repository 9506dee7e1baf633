"""Observations of victims and of pairs of images, in bounded memory."""

from typing import Final

from verbenapost.coordination.scheduling.interferencepairs import (
    Evidence,
    PairKey,
    PairSamples,
)
from verbenapost.coordination.scheduling.slowdowns import VictimKey
from verbenapost.coordination.scheduling.workersamples import WorkerSamples

#: Seconds in which the weight of an observation halves: effects change within
#: seconds, and a serving task is observed twice a second.
SERVING_HALF_LIFE: Final = 10.0

#: The same for short tasks, each of which is observed only once.
SHORT_HALF_LIFE: Final = 60.0

#: Victims and pairs that are held; those observed longest ago are dropped.
MAX_VICTIMS: Final = 2048
MAX_PAIRS: Final = 4096


class EvidenceTable:
    """Observations of victims, and of pairs that are no findings.

    :ivar pairs: observations by pair, the one observed longest ago first.
    """

    def __init__(self) -> None:
        self.pairs: dict[PairKey, PairSamples] = {}
        # Observations without a neighbour that is a finding.
        self._baselines: dict[VictimKey, WorkerSamples] = {}

    def __len__(self) -> int:
        """Return the number of victims and pairs that are held."""
        return len(self.pairs) + len(self._baselines)

    def touch_baseline(self, victim: VictimKey, now: float) -> WorkerSamples:
        """Return a victim's baseline, decayed to the given time."""
        baseline = self._baselines.pop(victim, None)
        if baseline is None:
            baseline = WorkerSamples(_get_half_life(victim), now)
        baseline.total.decay(now)
        self._baselines[victim] = baseline
        if len(self._baselines) > MAX_VICTIMS:
            self._baselines.pop(next(iter(self._baselines)))
        return baseline

    def touch_pair(self, key: PairKey, now: float) -> PairSamples:
        """Return the observations of a pair that is no finding."""
        pair = self.pairs.pop(key, None)
        if pair is None:
            pair = PairSamples(_get_half_life(key.victim_key), now)
        self.store_pair(key, pair)
        return pair

    def store_pair(self, key: PairKey, pair: PairSamples) -> None:
        """Store a pair as the one observed last."""
        self.pairs[key] = pair
        if len(self.pairs) > MAX_PAIRS:
            self.pairs.pop(next(iter(self.pairs)))

    def weigh(self, key: PairKey, pair: PairSamples, now: float) -> Evidence:
        """Return what the observations of a pair show."""
        baseline = self.touch_baseline(key.victim_key, now)
        if key in self.pairs:
            baseline = baseline.subtract(pair.samples, now)
        return pair.weigh(baseline, now, serving=key.serving)

    def separate(self, key: PairKey, now: float) -> None:
        """Remove a pair that becomes a finding from the other evidence.

        The effect of the aggressor is in the victim's baseline and in the
        evidence on the victim's other neighbours.
        """
        pair = self.pairs.pop(key)
        victim = key.victim_key
        baseline = self.touch_baseline(victim, now)
        self._baselines[victim] = baseline.subtract(pair.samples, now)
        for other, samples in self.pairs.items():
            if other.victim_key == victim:
                samples.clear(now)


def _get_half_life(victim: VictimKey) -> float:
    return SERVING_HALF_LIFE if victim.serving else SHORT_HALF_LIFE
