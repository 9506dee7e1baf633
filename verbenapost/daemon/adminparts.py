"""Connects the parts of a daemon to the administration ports."""

from verbenapost.daemon.administration import (
    ConfigurationAdmin,
    WaveAdmin,
)
from verbenapost.daemon.fleetadmin import FleetAdmin
from verbenapost.daemon.jobs import JobAdmin
from verbenapost.daemon.memberadmin import DaemonState, MemberAdmin
from verbenapost.daemon.parts import Parts
from verbenapost.daemon.ports import AdminPorts


def make_admin_ports(parts: Parts, daemon_state: DaemonState) -> AdminPorts:
    """Return the ports through which operators reach a daemon.

    :param parts: parts of the daemon.
    :param daemon_state: reports the daemon's own state.
    """
    roster = parts.roster
    keeper = parts.keeper
    return AdminPorts(
        configuration=ConfigurationAdmin(
            parts.configuration,
            parts.reads,
            parts.applied,
            roster,
        ),
        fleet=FleetAdmin(
            parts.reads,
            parts.incarnation,
            parts.configuration,
            parts.directory,
            keeper,
            parts.queues,
            roster,
        ),
        waves=WaveAdmin(
            parts.reads,
            parts.incarnation,
            keeper.read_policy,
            keeper.keeper,
        ),
        jobs=JobAdmin(parts.jobs.record_store, parts.configuration),
        members=MemberAdmin(
            parts.settings,
            daemon_state,
            parts.applied,
            roster,
            parts.members,
        ),
    )
