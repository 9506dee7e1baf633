"""The operators' configuration of a simulated deployment and its versions."""

import dataclasses
import json

from verbenapost.state.resources import Resources

HOST = 'host'
PREFIX = '/plan/'
SERVICE = 'routing'
STANDBY = 'spare'

#: Prefix of the route that needs no key; only configurations with tenants have
#: it.
EXEMPT_PREFIX = '/open/'


@dataclasses.dataclass(frozen=True)
class ConfiguredTenant:
    """A tenant as a version of the configuration holds it.

    :param keys: its API keys.
    :param weight: share of a full pool, and jobs in a second.
    :param cap: what may run at the same time; 0 is no limit.
    """

    name: str
    keys: tuple = dataclasses.field(repr=False)
    weight: float = 1
    cap: Resources = dataclasses.field(default_factory=Resources)

    def encode(self):
        """Return the fields of the tenant in the platform's format."""
        return {
            'name': self.name,
            'api_keys': list(self.keys),
            'priority': 1,
            'weight': self.weight,
            'cap': {
                'cpu': self.cap.cpu,
                'mem_mb': self.cap.memory,
                'gpu': self.cap.gpus,
            },
        }


@dataclasses.dataclass(frozen=True)
class ConfirmedVersion:
    """A version of the configuration that the store has confirmed.

    :param at: seconds at which the store confirmed it.
    :param tenants: its tenants, or ``None`` if it needs no keys.
    """

    at: float
    version: int
    tenants: tuple | None = None

    def find_tenant(self, name):
        """Return a tenant by name, or ``None``."""
        found = (row for row in self.tenants or () if row.name == name)
        return next(found, None)

    def find_owner(self, key):
        """Return the tenant that holds a key, or ``None``."""
        found = (row for row in self.tenants or () if key in row.keys)
        return next(found, None)


def encode_configuration(
    version, max_attempts, removed, standby, tenants, *, auth_exempt=False
):
    """Return a configuration as the operators' key holds it.

    :param removed: whether the configuration is without the queue.
    :param standby: whether there is a pool of VMs that are off.
    :param tenants: the tenants, or ``None`` for a version without the field.
    :param auth_exempt: whether the queue needs no keys.
    """
    services = [{'name': SERVICE}]
    if standby:
        services.append({'name': STANDBY, 'standby': True})
    routes = [] if removed else [_make_route('plan', PREFIX, max_attempts)]
    if auth_exempt:
        routes = [row | {'auth_exempt': True} for row in routes]
    fields = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {},
    }
    if tenants is not None:
        exempt = _make_route('open', EXEMPT_PREFIX, max_attempts)
        routes.append(exempt | {'auth_exempt': True})
        fields['tenants'] = [row.encode() for row in tenants]
    return json.dumps(fields).encode()


def _make_route(name, prefix, max_attempts):
    return {
        'name': name,
        'hostname': HOST,
        'prefix': prefix,
        'service': SERVICE,
        'priority': 0,
        'max_attempts': max_attempts,
        'slack_factor': 1.6,
        'target_latency_ms': 600,
    }
