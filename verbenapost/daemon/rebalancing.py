"""Solves the assignment of VMs to pools from time to time."""

import asyncio
import importlib
import time
from typing import Any, final

from result import Err

from verbenapost.daemon.fleet import KeeperHost
from verbenapost.daemon.logs import make_logger

#: Seconds between two solutions of the assignment.
REBALANCE_PERIOD = 60.0

# The solver's library takes some 45 MB, so that it is loaded only by the
# daemon that owns the pools, and in a thread.
_MODULE = 'verbenapost.coordination.pools.rebalance'


@final
class RebalanceTask:
    """Moves VMs so that every pool survives its losses.

    :param host: host of the pool keeper.
    """

    def __init__(self, host: KeeperHost) -> None:
        self._host = host
        self._rebalancer: Any = None
        self._log = make_logger('keeper')

    async def run(self) -> None:
        """Solve again and again while this daemon owns the pools."""
        while True:
            await asyncio.sleep(REBALANCE_PERIOD)
            if self._host.owned and not self._host.is_busy():
                await self._rebalance()

    async def _rebalance(self) -> None:
        if self._rebalancer is None:
            module = await asyncio.to_thread(importlib.import_module, _MODULE)
            self._rebalancer = module.Rebalancer(
                self._host.keeper,
                asyncio.to_thread,
            )
        try:
            moved = await self._rebalancer.rebalance(time.time())
        except Exception:
            # The next solution starts anew from what the store holds.
            self._log.exception('the assignment failed')
            return
        if isinstance(moved, Err):
            detail = moved.err_value.detail
            self._log.warning('no assignment', detail=detail)
        elif moved.ok_value:
            self._log.info('moves started', count=moved.ok_value)
            self._host.wake()
