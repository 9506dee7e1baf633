"""Ordinary requests to a daemon."""

import asyncio
from typing import Any, Final

import aiohttp

from examples.ports import LOOPBACK
from standins.fleet.world import HOST, PREFIX

#: Seconds to wait for one answer.
ANSWER_SECONDS: Final = 4

#: Attempts until a daemon counts as one that doesn't answer, and seconds
#: between two of them.
ATTEMPTS: Final = 60
RETRY_SECONDS: Final = 0.25


async def ask(method: str, url: str, **options: Any) -> int:
    """Return the status of a request over a new connection, 0 without one."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, **options) as response,
        ):
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def submit(port: int, job: str) -> bool:
    """Return whether a daemon accepts a job, which it is asked repeatedly."""
    url = f'http://{LOOPBACK}:{port}{PREFIX}{job}'
    steps = [{'count': 1, 'cpu': 1000, 'mem_mb': 100}]
    for _ in range(ATTEMPTS):
        status = await ask(
            'POST',
            url,
            json={'spec': 'text', 'steps': steps},
            headers={'Host': HOST},
        )
        if status == 200:
            return True
        await asyncio.sleep(RETRY_SECONDS)
    return False


async def check_live(port: int) -> bool:
    """Return whether ``verbenapostd`` answers, which is asked repeatedly."""
    for _ in range(ATTEMPTS):
        if await ask('GET', f'http://{LOOPBACK}:{port}/-/live') == 200:
            return True
        await asyncio.sleep(RETRY_SECONDS)
    return False
