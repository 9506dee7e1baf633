"""Daemons that are started for a group of clients."""

import contextlib
import dataclasses
import json
import random
import re
import resource
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from examples.histories.fleetsite import FleetSoak
from examples.layout import Layout, make_settings, plan_layout
from examples.ports import LOOPBACK
from examples.processes import ProcessGroup
from examples.sites import SITES

#: Name of the platform's daemon.
FLEET_DAEMON = 'front-1'

#: Name of the daemon of ``verbenapostd``.
OTHER_DAEMON = 'entry-1'

#: Bytes of unfinished heads that the daemon may hold, lowered so that a small
#: number of clients reaches the limit.
HELD_BYTES = 4_194_304

#: Template from which the platform makes the settings.
TEMPLATE = Path(__file__).parents[2] / 'deploy/settings.template.json'


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Limits that the platform names in the settings.

    :param memory_mb: megabytes that the process may occupy, with what it has
        received and not read.
    :param max_fds: descriptors that it may open.
    """

    memory_mb: int
    max_fds: int


def start_fleet_daemon(
    world: Any, processes: ProcessGroup, folder: Path
) -> dict[str, int]:
    """Start the platform's daemon and return its ports by listener.

    :param world: stand-in of the platform.
    :param processes: gets the daemon.
    :param folder: folder of the settings.
    """
    soak = FleetSoak(world, processes, random.Random(1), Path.cwd(), folder)
    soak.write_settings(FLEET_DAEMON)
    path = folder / f'{FLEET_DAEMON}.json'
    settings = json.loads(path.read_text())
    settings['connection_limits'] = {'held_bytes': HELD_BYTES}
    path.write_text(json.dumps(settings))
    soak.start_daemon(FLEET_DAEMON)
    return _list_ports(settings)


def start_limited_daemon(
    world: Any,
    processes: ProcessGroup,
    folder: Path,
    limits: PlatformLimits,
) -> dict[str, int]:
    """Start the platform's daemon with settings as the platform renders them.

    :param world: stand-in of the platform.
    :param processes: gets the daemon.
    :param folder: folder of the settings.
    :param limits: limits that the platform names.
    :returns: its ports by listener.
    """
    soak = FleetSoak(world, processes, random.Random(1), Path.cwd(), folder)
    soak.write_settings(FLEET_DAEMON)
    path = folder / f'{FLEET_DAEMON}.json'
    written = json.loads(path.read_text())
    path.write_text(_render_template(written, limits))
    soak.start_daemon(FLEET_DAEMON)
    return _list_ports(written)


def _render_template(written: dict[str, Any], limits: PlatformLimits) -> str:
    """Fill in the template of the deploy file.

    :param written: settings of a soak, which give the addresses.
    """
    listen = written['listen']
    fields: dict[str, Any] = {
        'node': written['daemon'],
        'zone': written['data_centre'],
        'ip': written['address'],
        'listen': {'front': listen['callers'], 'ready': listen['probes']},
        'internal_ports': listen['internal_ports'],
        'platform': written['store']
        | {'writes_per_s': 400, 'reads_per_s': 2000},
        'cloud': written['cloud'] | {'duties_per_s': 64},
        'limits': {'cpu_share': 1, 'cores': 1} | dataclasses.asdict(limits),
        'recommendation': None,
        'bounds': written['bounds'],
    }

    def replace(found: re.Match[str]) -> str:
        value: Any = fields
        for name in found[1].split('.'):
            value = value[name]
        return json.dumps(value)

    return re.sub(r'\{\{([\w.]+)\|json\}\}', replace, TEMPLATE.read_text())


def _list_ports(settings: dict[str, Any]) -> dict[str, int]:
    listen = settings['listen']
    metrics, peers = listen['internal_ports']
    return {
        'callers': _read_port(listen['callers']),
        'probes': _read_port(listen['probes']),
        'metrics': metrics,
        'peers': peers,
    }


def plan_other_daemon() -> Layout:
    """Return the addresses of ``verbenapostd`` and of the platform for it."""
    return plan_layout(SITES['caledon'], daemons=1)


def start_other_daemon(
    processes: ProcessGroup, folder: Path, layout: Layout | None = None
) -> dict[str, int]:
    """Start ``verbenapostd`` without its store; return ports by listener.

    :param processes: gets the daemon.
    :param folder: folder of the settings.
    :param layout: addresses, by default new ones.
    """
    layout = layout or plan_other_daemon()
    path = folder / f'{OTHER_DAEMON}.json'
    settings = make_settings(layout, OTHER_DAEMON)
    settings['connection_limits'] = {'held_bytes': HELD_BYTES}
    path.write_text(json.dumps(settings))
    processes.start(
        OTHER_DAEMON, 'verbenapost.daemon.main', f'--settings={path}'
    )
    return {
        'callers': layout.http_ports[OTHER_DAEMON],
        'peers': layout.peer_ports[OTHER_DAEMON],
    }


@contextlib.contextmanager
def lower_descriptors(limit: int) -> Iterator[None]:
    """Limit the open descriptors of the processes that are started."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def _read_port(address: str) -> int:
    host, _, port = address.rpartition(':')
    assert host == LOOPBACK  # noqa: S101
    return int(port)
