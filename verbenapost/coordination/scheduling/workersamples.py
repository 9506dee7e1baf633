"""Recent measures of an image, in total and on some workers.

Load pattern: tasks of one image differ from worker to worker for reasons of
their own, such as the callers that they serve. Many observations of the same
two tasks show no more than that these two differ.
"""

from typing import Final

from verbenapost.coordination.scheduling.decayedsamples import DecayedSample

#: Workers whose measures are held apart.
MAX_WORKERS: Final = 12

#: Weight of observations from which a worker's mean counts. A worker below it
#: gives its place to another one.
MIN_WORKER_WEIGHT: Final = 1.0


class WorkerSamples:
    """Measures of an image on all workers and on some of them.

    :param half_life: seconds in which the weight of a measure halves.
    :param now: local seconds.
    :ivar total: measures on all workers.
    """

    def __init__(self, half_life: float, now: float) -> None:
        self.total = DecayedSample(half_life, now)
        self._by_worker: dict[str, DecayedSample] = {}

    def add(self, worker: str, measure: float, now: float) -> None:
        """Add a measure on a worker."""
        self.total.add(measure, now)
        sample = self._by_worker.get(worker)
        if sample is None:
            self._drop_stale(now)
            if len(self._by_worker) >= MAX_WORKERS:
                return
            sample = DecayedSample(self.total.half_life, now)
            self._by_worker[worker] = sample
        sample.add(measure, now)

    def subtract(self, part: 'WorkerSamples', now: float) -> 'WorkerSamples':
        """Return the samples without those of a part of them."""
        rest = WorkerSamples(self.total.half_life, now)
        rest.total = self.total.subtract(part.total, now)
        nothing = DecayedSample(self.total.half_life, now)
        for worker, sample in self._by_worker.items():
            removed = part.get_worker(worker) or nothing
            rest.set_worker(worker, sample.subtract(removed, now))
        return rest

    def get_worker(self, worker: str) -> DecayedSample | None:
        """Return the measures on a worker, if they are held."""
        return self._by_worker.get(worker)

    def set_worker(self, worker: str, sample: DecayedSample) -> None:
        """Set the measures on a worker."""
        self._by_worker[worker] = sample

    def list_means(self, now: float) -> list[float]:
        """Return the means on the workers with enough recent measures."""
        means: list[float] = []
        for sample in self._by_worker.values():
            sample.decay(now)
            if sample.weight >= MIN_WORKER_WEIGHT:
                means.append(sample.mean)
        return means

    def _drop_stale(self, now: float) -> None:
        if len(self._by_worker) < MAX_WORKERS:
            return
        for worker, sample in list(self._by_worker.items()):
            sample.decay(now)
            if sample.weight < MIN_WORKER_WEIGHT:
                self._by_worker.pop(worker)
