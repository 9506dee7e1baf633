"""Periodic optimisation of the assignment of VMs to pools."""

import asyncio
import importlib
import time
from typing import Any, final

from result import Err

from verbenapost.daemon.fleet import KeeperHost
from verbenapost.daemon.logs import make_logger

#: Seconds between solutions of the assignment.
REBALANCE_PERIOD = 60.0

# The solver library needs about 45 MB of memory, so only the daemon that owns
# the pools loads it, in a thread.
_MODULE = 'verbenapost.coordination.pools.rebalance'


@final
class RebalanceTask:
    """Moves VMs so that every pool survives the losses it must tolerate.

    :param host: host of the pool keeper.
    """

    def __init__(self, host: KeeperHost) -> None:
        self._host = host
        self._rebalancer: Any = None
        self._log = make_logger('keeper')

    async def run(self) -> None:
        """Rebalance periodically while this daemon owns the pools."""
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
            # The next solution starts again from the state in the store.
            self._log.exception('rebalancing failed')
            return
        if isinstance(moved, Err):
            detail = moved.err_value.detail
            self._log.warning('rebalancing ended early', detail=detail)
        elif moved.ok_value:
            self._log.info('moves started', count=moved.ok_value)
            self._host.wake()
