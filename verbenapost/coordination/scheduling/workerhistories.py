"""Recent observations of each worker: which images it has run, how slowly.

Load patterns: the first run of an image on a worker is slow, since the worker
fetches the image; a slow worker slows all images that it runs.
"""

import dataclasses
from typing import Final, final

from verbenapost.coordination.scheduling.slowdowns import VictimKey

#: Workers that are remembered, more than the 5,200 of the design.
MAX_WORKERS: Final = 8192

#: Images of one worker that are remembered.
MAX_IMAGES: Final = 8

#: Seconds for which the last observation of an image on a worker counts.
OBSERVED_SECONDS: Final = 10.0

#: Seconds for which an image that is as fast as elsewhere shows that its worker
#: is not slow: three figures of a serving task.
CURRENT_SECONDS: Final = 1.5

#: Images that must be slow at the same time on a slow worker.
MIN_SLOW_IMAGES: Final = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LastObservation:
    """Last observation of an image on a worker.

    :param slow: whether it was slower than elsewhere.
    :param seen_at: local seconds of the observation.
    """

    slow: bool
    seen_at: float


@final
@dataclasses.dataclass(slots=True, eq=False)
class WorkerHistory:
    """Recent observations of one incarnation of a worker.

    :param started_at_ms: Unix time at which the incarnation began.
    :param reported_at: local seconds of the last report.
    :param figures_at: local seconds at which serving tasks were last observed.
    :param warm_images: images of which a run is done, oldest first.
    :param observed: last observation of each image.
    """

    started_at_ms: int
    reported_at: float
    figures_at: float = 0
    warm_images: dict[str, None] = dataclasses.field(default_factory=dict)
    observed: dict[VictimKey, LastObservation] = dataclasses.field(
        default_factory=dict
    )

    def warm(self, image: str) -> bool:
        """Record a run of an image; returns whether there was one before."""
        known = image in self.warm_images
        self.warm_images.pop(image, None)
        self.warm_images[image] = None
        if len(self.warm_images) > MAX_IMAGES:
            self.warm_images.pop(next(iter(self.warm_images)))
        return known

    def note(self, victim: VictimKey, now: float, *, slow: bool) -> None:
        """Record whether an image is slower here than elsewhere."""
        self.observed.pop(victim, None)
        self.observed[victim] = LastObservation(slow, now)
        if len(self.observed) > MAX_IMAGES:
            self.observed.pop(next(iter(self.observed)))

    def is_slow(self, now: float) -> bool:
        """Return whether several images are observed and all are slow."""
        recent = {
            victim: row.slow
            for victim, row in self.observed.items()
            if now - row.seen_at <= OBSERVED_SECONDS
        }
        images = {victim.image for victim in recent}
        return len(images) >= MIN_SLOW_IMAGES and all(recent.values())

    def is_only_slow(self, victim: VictimKey, now: float) -> bool:
        """Return whether an image is slow here and another one is not."""
        last = self.observed.get(victim)
        if last is None or not last.slow:
            return False
        return any(
            not row.slow and now - row.seen_at <= CURRENT_SECONDS
            for row in self.observed.values()
        )


class WorkerHistories:
    """Histories of the workers that reported last."""

    def __init__(self) -> None:
        self._histories: dict[str, WorkerHistory] = {}

    def __len__(self) -> int:
        """Return the number of workers that are remembered."""
        return len(self._histories)

    def find(self, name: str, started_at_ms: int, now: float) -> WorkerHistory:
        """Return the history of a worker's incarnation, new if necessary."""
        history = self._histories.pop(name, None)
        if history is None or history.started_at_ms != started_at_ms:
            history = WorkerHistory(started_at_ms, now)
        self._histories[name] = history
        if len(self._histories) > MAX_WORKERS:
            self._histories.pop(next(iter(self._histories)))
        return history
