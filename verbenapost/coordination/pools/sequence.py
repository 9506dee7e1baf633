"""Sequential execution of asynchronous actions."""

import collections
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

from result import Err, Ok, Result

from verbenapost.protocol.errors import Failure

_Item = TypeVar('_Item')
_Answer = TypeVar('_Answer')
_Checked = Awaitable[Result[Any, Failure]]


async def collect(
    action: Callable[[_Item], Awaitable[_Answer]],
    items: Iterable[_Item],
) -> list[_Answer]:
    """Run an action for each item in turn and return the results."""
    waiting = collections.deque(items)
    answers: list[_Answer] = []
    while waiting:
        answers.append(await action(waiting.popleft()))
    return answers


async def run_until_failure(
    action: Callable[[_Item], _Checked],
    items: Iterable[_Item],
) -> Result[None, Failure]:
    """Run an action for each item in turn until one fails.

    :returns: the first failure, if any.
    """
    waiting = collections.deque(items)
    while waiting:
        answer = await action(waiting.popleft())
        if isinstance(answer, Err):
            return answer
    return Ok(None)
