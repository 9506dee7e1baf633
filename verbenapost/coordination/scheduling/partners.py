"""Images beside which the tasks of a step are not placed if possible."""

import dataclasses
from collections.abc import Callable
from typing import Final, final

from verbenapost.coordination.scheduling.workers import Worker


def _ignore() -> None:
    """Count nothing."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Partners:
    """Images that a finding of interference names with a step's image.

    :param images: the images.
    :param note_avoided: called for each task that gets a worker without them
        while one with them had capacity when the step was ranked.
    """

    images: frozenset[str] = frozenset()
    note_avoided: Callable[[], None] = _ignore

    def is_beside(self, worker: Worker) -> bool:
        """Return whether a task of one of the images is on a worker."""
        return bool(self.images) and any(
            task.step.image in self.images for task in worker.tasks.values()
        )


#: Partners of an image that no finding names.
NO_PARTNERS: Final = Partners()
