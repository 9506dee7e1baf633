"""Findings of interference: pairs of images that are placed apart."""

import dataclasses
import enum
import math
from typing import Final, final

from verbenapost.coordination.scheduling.interferencepairs import (
    Evidence,
    PairKey,
    PairSamples,
)
from verbenapost.coordination.scheduling.slowdowns import VictimKey

#: Findings that are held at a time; the next one has to wait for an end.
MAX_FINDINGS: Final = 512

# Name of a pool's service and of an image.
_Image = tuple[str, str]

_NO_IMAGES: Final[frozenset[str]] = frozenset()


@enum.unique
class FindingEnd(enum.StrEnum):
    """Why a finding ended.

    ``REFUTED`` means that the victim is as fast beside the aggressor as
    without it, ``EXPIRED`` that nothing has confirmed the finding for long, as
    is usual when the images were placed apart.
    """

    REFUTED = 'refuted'
    EXPIRED = 'expired'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FindingChange:
    """Beginning or end of a finding.

    :param pair: the pair of images.
    :param evidence: evidence at this time.
    :param seconds: seconds since the finding was made.
    :param end: why the finding ended, or ``None`` when it begins.
    """

    pair: PairKey
    evidence: Evidence
    seconds: float = 0
    end: FindingEnd | None = None


class Findings:
    """Pairs that are findings now, by victim and by image.

    :ivar pairs: observations of the pairs.
    """

    def __init__(self) -> None:
        self.pairs: dict[PairKey, PairSamples] = {}
        self._partners: dict[_Image, frozenset[str]] = {}
        self._aggressors: dict[VictimKey, frozenset[str]] = {}
        self._next_expiry = math.inf

    def find_partners(self, service: str, image: str) -> frozenset[str]:
        """Return the images beside which an image is not to be placed."""
        return self._partners.get((service, image), _NO_IMAGES)

    def find_aggressors(self, victim: VictimKey) -> frozenset[str]:
        """Return the images that slow a victim down."""
        return self._aggressors.get(victim, _NO_IMAGES)

    def begin(self, key: PairKey, pair: PairSamples, now: float) -> bool:
        """Make a pair a finding; returns whether there was room for it."""
        if len(self.pairs) >= MAX_FINDINGS:
            return False
        self.pairs[key] = pair
        pair.begin_finding(now)
        self._next_expiry = min(self._next_expiry, pair.expires_at)
        self._index()
        return True

    def end(self, key: PairKey, end: FindingEnd, now: float) -> PairSamples:
        """End a finding and return its pair without its observations."""
        pair = self.pairs.pop(key)
        pair.clear(now)
        if end is FindingEnd.REFUTED:
            pair.times_found = 0
        self._index()
        return pair

    def list_expired(self, now: float) -> list[PairKey]:
        """Return the findings that end without confirmation."""
        if now < self._next_expiry:
            return []
        self._next_expiry = min(
            (
                pair.expires_at
                for pair in self.pairs.values()
                if pair.expires_at > now
            ),
            default=math.inf,
        )
        return [
            key for key, pair in self.pairs.items() if pair.expires_at <= now
        ]

    def _index(self) -> None:
        partners: dict[_Image, set[str]] = {}
        aggressors: dict[VictimKey, set[str]] = {}
        for key in self.pairs:
            victim = (key.service, key.victim)
            aggressor = (key.service, key.aggressor)
            partners.setdefault(victim, set()).add(key.aggressor)
            partners.setdefault(aggressor, set()).add(key.victim)
            aggressors.setdefault(key.victim_key, set()).add(key.aggressor)
        self._partners = {
            image: frozenset(names) for image, names in partners.items()
        }
        self._aggressors = {
            victim_key: frozenset(names)
            for victim_key, names in aggressors.items()
        }
