"""The daemon without its HTTP servers: configuration, election, leading."""

import asyncio
import dataclasses
from typing import Any, Final

from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.timers import read_clock
from verbenapost.platform.names import OPERATOR_PREFIX
from verbenapost.scheduler.channels import RequestHandler
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.follower import PrefixFollower
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.leader import Leader
from verbenapost.scheduler.leadership import Leadership
from verbenapost.scheduler.messages import (
    AdmissionRequest,
    PendingRequest,
    PendingResponse,
    StateRequest,
    StateResponse,
)
from verbenapost.scheduler.ports import LeaderPorts
from verbenapost.scheduler.tasks import TaskSet

#: Seconds that a handover may wait for unwritten records.
HANDOVER_SECONDS: Final = 1.0


class Core:
    """Follows the configuration, campaigns, and leads while elected.

    :param ports: dependencies of the leader.
    """

    def __init__(self, ports: LeaderPorts) -> None:
        self._ports = ports
        self._log = make_logger('core')
        self._leader: Leader | None = None
        self._tasks = TaskSet()
        self._operator_follower = PrefixFollower(
            ports.store,
            OPERATOR_PREFIX,
            ports.configuration.apply_change,
            make_logger('configuration'),
        )
        self._leader_follower = PrefixFollower(
            ports.store,
            LEADER_KEY,
            ports.election.apply_change,
            make_logger('election'),
        )

    def start(self) -> None:
        """Start to follow the store and to campaign."""
        self._tasks.keep(self._operator_follower.run)
        self._tasks.keep(self._leader_follower.run)
        self._tasks.keep(self._campaign)
        self._tasks.keep(self._lead)

    async def resign(self) -> None:
        """Write pending records and give up the leadership, if held."""
        leader = self._leader
        if leader is not None and self._ports.election.holds_lease():
            try:
                async with asyncio.timeout(HANDOVER_SECONDS):
                    await leader.hand_over()
            except TimeoutError:
                self._log.warning('records not written before the handover')
        await self._ports.election.resign()

    async def close(self) -> None:
        """Cancel all tasks without a handover."""
        await self._tasks.close()

    def find_leader(self) -> Leadership | None:
        """Return the current leadership, or ``None`` without a leader."""
        return self._ports.election.current

    def find_local_handler(self) -> RequestHandler | None:
        """Return this daemon's request handler, ``None`` unless it leads."""
        leader = self._leader
        if leader is None or not leader.ready:
            return None
        return self._answer if self._ports.election.holds_lease() else None

    def answer_peer(self, message: Any) -> Any:
        """Return the answer to a request of another daemon.

        :param message: the request.
        :raises ValueError: while this daemon doesn't lead.
        """
        local = self.find_local_handler()
        if local is None:
            raise ValueError('this daemon does not lead')
        return local(message)

    async def _campaign(self) -> None:
        await self._leader_follower.listed.wait()
        await self._ports.election.run()

    async def _lead(self) -> None:
        election: Election = self._ports.election
        while True:
            await election.won.wait()
            reason = 'the leader task has ended'
            try:
                self._leader = Leader(self._ports)
                await self._leader.run()
            except Exception:
                # The lease is renewed by another task, so that without this
                # nobody would lead.
                self._log.exception('leader failed')
                reason = 'the leader has failed'
            finally:
                self._leader = None
            election.lose(reason)
            election.leader_open = False

    def _answer(self, message: Any) -> Any:
        leader = self._leader
        if leader is None:
            raise ValueError('this daemon does not lead')
        if isinstance(message, AdmissionRequest):
            suspect = self._ports.outage_detector.is_suspect(read_clock())
            return dataclasses.replace(
                leader.check_admission(message), store_suspect=suspect
            )
        if isinstance(message, StateRequest):
            state = leader.jobs.read_state(message.job)
            return StateResponse(
                '' if state is None else state.value,
                leader.jobs.find_owner(message.job),
            )
        if isinstance(message, PendingRequest):
            pending = leader.count_pending(message.route)
            return PendingResponse(pending or 0, known=pending is not None)
        raise ValueError(f'{type(message).__name__} has no answer')
