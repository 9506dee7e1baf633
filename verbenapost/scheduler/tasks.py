"""Groups of asyncio tasks with a common owner."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from verbenapost.daemon.logs import make_logger

#: Seconds after which work that has failed is started again.
RESTART_SECONDS: Final = 0.5

#: Returns a new coroutine of some work.
MakeWork = Callable[[], Coroutine[Any, Any, None]]

#: Called with the exception that has ended a task.
NoteFailure = Callable[[BaseException], None]


class TaskSet:
    """Starts tasks, logs their exceptions and cancels them together.

    :param note_failure: called after a task has ended with an exception.
    """

    def __init__(self, note_failure: NoteFailure | None = None) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._note_failure = note_failure
        self._closed = False
        self._log = make_logger('tasks')

    def __len__(self) -> int:
        """Return the number of tasks that have not ended."""
        return len(self._tasks)

    def add(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task, which does nothing once the tasks are closed.

        A task that is being cancelled, or that belongs to another owner, may
        still call this.
        """
        task = asyncio.create_task(work)
        if self._closed:
            task.cancel()
        self._tasks.add(task)
        task.add_done_callback(self._drop)
        return task

    def keep(self, make_work: MakeWork) -> asyncio.Task[Any]:
        """Start a task whose work is started again whenever it fails.

        :param make_work: returns a new coroutine of the work.
        """
        return self.add(self._run_again(make_work))

    async def close(self) -> None:
        """Cancel all tasks, also later ones, and wait for their end."""
        self._closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_again(self, make_work: MakeWork) -> None:
        while True:
            try:
                await make_work()
            except Exception:
                self._log.exception('task failed, starting it again')
            else:
                return
            await asyncio.sleep(RESTART_SECONDS)

    def _drop(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        fault = task.exception()
        if fault is not None:
            self._log.error('task failed', task=repr(task), exc_info=fault)
            if self._note_failure is not None:
                self._note_failure(fault)
