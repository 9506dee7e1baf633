"""Groups of asyncio tasks with a common owner."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from verbenapost.daemon.logs import make_logger

#: Called with the exception that has ended a task.
NoteFailure = Callable[[BaseException], None]


class TaskSet:
    """Starts tasks, logs their exceptions and cancels them together.

    :param note_failure: called after a task has ended with an exception.
    """

    def __init__(self, note_failure: NoteFailure | None = None) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._note_failure = note_failure
        self._log = make_logger('tasks')

    def add(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._drop)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _drop(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        fault = task.exception()
        if fault is not None:
            self._log.error('task failed', task=repr(task), exc_info=fault)
            if self._note_failure is not None:
                self._note_failure(fault)
