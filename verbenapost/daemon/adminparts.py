"""Joins the parts of a daemon to the ports of the administration."""

from verbenapost.daemon.administration import (
    ConfigurationDesk,
    WaveDesk,
)
from verbenapost.daemon.fleetadmin import FleetDesk
from verbenapost.daemon.jobs import JobDesk
from verbenapost.daemon.memberadmin import MemberDesk, Standing
from verbenapost.daemon.parts import Parts
from verbenapost.daemon.ports import AdminPorts


def make_admin_ports(parts: Parts, standing: Standing) -> AdminPorts:
    """Return the ports through which operators reach a daemon.

    :param parts: parts of the daemon.
    :param standing: what the daemon knows of its own state.
    """
    roster = parts.roster
    keeper = parts.keeper
    return AdminPorts(
        configuration=ConfigurationDesk(
            parts.configuration,
            parts.reads,
            parts.applied,
            roster,
        ),
        fleet=FleetDesk(
            parts.reads,
            parts.start_id,
            parts.configuration,
            parts.directory,
            keeper,
            parts.queues,
            roster,
        ),
        waves=WaveDesk(
            parts.reads,
            parts.start_id,
            keeper.read_policy,
            keeper.keeper,
        ),
        jobs=JobDesk(parts.jobs.ledger, parts.configuration),
        members=MemberDesk(
            parts.settings,
            standing,
            parts.applied,
            roster,
            parts.members,
        ),
    )
