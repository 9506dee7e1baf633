"""Evidence on one pair of images: whether one slows the other down."""

import dataclasses
import math
from typing import Final, final

from verbenapost.coordination.scheduling.decayedsamples import DecayedSample
from verbenapost.coordination.scheduling.slowdowns import VictimKey
from verbenapost.coordination.scheduling.workersamples import WorkerSamples

#: Ratio to the same image without the neighbour from which a neighbour is
#: harmful.
HARMFUL_RATIO: Final = 1.5

#: Ratio up to which a neighbour that was harmful is not any more.
HARMLESS_RATIO: Final = 1.2

#: Share of its latency target from which a serving task is slowed down; below
#: it, its callers don't notice the neighbour.
HARMED_SHARE: Final = 0.8

#: Weight of observations that is needed with and without the neighbour.
MIN_WEIGHT: Final = 6.0

#: Standard errors by which the means must differ. Thousands of pairs are
#: compared, so that two would let tens of them pass by chance.
MIN_ERRORS: Final = 4.0

#: Variance that is assumed between the tasks of an image on several workers,
#: which differ by about a seventh, and the number of workers that this
#: assumption counts as. The few workers of a pair don't show it themselves.
WORKER_VARIANCE: Final = 0.02
ASSUMED_WORKERS: Final = 4

#: Workers that must show the slowdown, unless another image is as fast on a
#: worker as elsewhere: one worker may itself be slow.
MIN_HARMED_WORKERS: Final = 2

#: Seconds for which a finding lasts without an observation that confirms it.
FINDING_SECONDS: Final = 60.0

#: Times that the duration doubles when the same finding is made again.
MAX_DOUBLINGS: Final = 4


@final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PairKey:
    """Pair of images in one pool.

    :param service: name of the pool's service.
    :param victim: image that is slowed down.
    :param aggressor: image beside it.
    :param serving: whether the victim's measure is its tail of response times.
    """

    service: str
    victim: str
    aggressor: str
    serving: bool

    @property
    def victim_key(self) -> VictimKey:
        """The victim and its measure."""
        return VictimKey(self.service, self.victim, self.serving)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the observations of a pair show.

    :param ratio: mean measure of the victim beside the aggressor, as a
        multiple of the mean without it.
    :param errors: difference of the means in standard errors.
    :param weight: weight of the observations beside the aggressor.
    :param weight_without: weight of the other observations.
    :param target_share: mean tail beside the aggressor as a share of the
        target, or ``None`` for short tasks.
    :param workers: workers on which the victim was observed beside it.
    :param harmed_workers: those of them on which the victim was slow.
    :param separated: whether another image was as fast as elsewhere on a worker
        on which the victim was slow.
    """

    ratio: float
    errors: float
    weight: float
    weight_without: float
    target_share: float | None
    workers: int
    harmed_workers: int
    separated: bool

    @property
    def sufficient(self) -> bool:
        """Whether there are enough observations to judge."""
        return min(self.weight, self.weight_without) >= MIN_WEIGHT

    @property
    def noticed(self) -> bool:
        """Whether a serving task is close to its target or misses it."""
        share = self.target_share
        return share is None or share >= HARMED_SHARE

    @property
    def widespread(self) -> bool:
        """Whether the slowdown isn't that of a slow worker."""
        needed = 1 if self.separated else MIN_HARMED_WORKERS
        # A slow worker among others is outvoted.
        majority = self.harmed_workers * 2 > self.workers
        return self.harmed_workers >= needed and majority

    @property
    def harmful(self) -> bool:
        """Whether the aggressor slows the victim down."""
        return (
            self.sufficient
            and self.noticed
            and self.widespread
            and self.ratio >= HARMFUL_RATIO
            and self.errors >= MIN_ERRORS
        )

    @property
    def harmless(self) -> bool:
        """Whether the aggressor doesn't slow the victim down."""
        return self.sufficient and self.ratio <= HARMLESS_RATIO


class PairSamples:
    """Observations of a victim beside an aggressor.

    :param half_life: seconds in which the weight of an observation halves.
    :param now: local seconds.
    :ivar samples: the observations.
    :ivar times_found: findings of the pair in a row that were not refuted.
    :ivar found_at: local seconds at which the finding was made.
    :ivar expires_at: local seconds at which it ends without confirmation.
    """

    def __init__(self, half_life: float, now: float) -> None:
        self.samples = WorkerSamples(half_life, now)
        self.times_found = 0
        self.found_at: float = 0
        self.expires_at: float = 0
        self._separated_at = -math.inf

    def note_separated(self, now: float) -> None:
        """Record that only the victim was slow on a worker."""
        self._separated_at = now

    def clear(self, now: float) -> None:
        """Remove all observations."""
        self.samples = WorkerSamples(self.samples.total.half_life, now)
        self._separated_at = -math.inf

    def begin_finding(self, now: float) -> None:
        """Record that the pair becomes a finding."""
        self.times_found += 1
        self.found_at = now
        self.confirm(now)

    def confirm(self, now: float) -> None:
        """Extend the finding after an observation that confirms it."""
        doublings = min(self.times_found - 1, MAX_DOUBLINGS)
        self.expires_at = now + FINDING_SECONDS * 2**doublings

    def weigh(
        self, without: WorkerSamples, now: float, *, serving: bool
    ) -> Evidence:
        """Return what the observations show.

        :param without: observations of the victim without the aggressor.
        :param now: local seconds.
        :param serving: whether the victim is a serving task.
        """
        total = self.samples.total
        total.decay(now)
        difference = total.mean - without.total.mean
        means = self.samples.list_means(now)
        threshold = without.total.mean + math.log(HARMFUL_RATIO)
        variance = _estimate_variance(means, without.list_means(now))
        variance += total.mean_variance + without.total.mean_variance
        return Evidence(
            math.exp(difference),
            difference / math.sqrt(variance),
            total.weight,
            without.total.weight,
            math.exp(total.mean) if serving else None,
            len(means),
            sum(mean >= threshold for mean in means),
            now - self._separated_at <= total.half_life,
        )


def is_slower(total: DecayedSample, baseline: DecayedSample) -> bool:
    """Return whether a part of a sample may be slower than the rest.

    Most pairs end here, so that the full comparison costs little.

    :param total: observations of a victim beside an aggressor.
    :param baseline: all its observations, decayed to the same time.
    """
    rest = baseline.weight - total.weight
    if total.weight < MIN_WEIGHT or rest < MIN_WEIGHT:
        return False
    mean = (baseline.total - total.total) / rest
    return total.mean - mean >= math.log(HARMFUL_RATIO)


def _estimate_variance(means: list[float], without: list[float]) -> float:
    """Return the variance of the difference of two means over workers."""
    if not means or not without:
        return math.inf
    deviations = _sum_squares(means) + _sum_squares(without)
    freedom = len(means) + len(without) - 2
    variance = (ASSUMED_WORKERS * WORKER_VARIANCE + deviations) / (
        ASSUMED_WORKERS + freedom
    )
    return variance * (1 / len(means) + 1 / len(without))


def _sum_squares(means: list[float]) -> float:
    center = sum(means) / len(means)
    return sum((mean - center) ** 2 for mean in means)
