"""The simulated operators write tenants in the platform's format."""

import json

from standins.fleet.configurations import (
    ConfiguredTenant,
    ConfirmedVersion,
    encode_configuration,
)
from verbenapost.platform.records import decode_configuration
from verbenapost.state.resources import Resources

TENANT = ConfiguredTenant('t', ('k1', 'k2'), 3, Resources(4000, 200, 1))


def encode(tenants):
    packed = encode_configuration(
        7, 3, removed=False, standby=True, tenants=tenants
    )
    assert decode_configuration(packed).is_ok()
    return json.loads(packed)


class TestConfiguration:
    """A field that the platform doesn't have would test nothing."""

    def test_tenants_are_in_the_platforms_format(self):
        assert encode((TENANT,))['tenants'] == [
            {
                'name': 't',
                'api_keys': ['k1', 'k2'],
                'priority': 1,
                'weight': 3,
                'cap': {'cpu': 4000, 'mem_mb': 200, 'gpu': 1},
            }
        ]

    def test_one_route_needs_no_key(self):
        routes = encode(())['routes']
        assert [row.get('auth_exempt') for row in routes] == [None, True]

    def test_a_version_without_tenants_has_no_such_fields(self):
        fields = encode(None)
        assert 'tenants' not in fields
        assert [row['name'] for row in fields['routes']] == ['plan']


class TestVersion:
    """The rules read from a version who holds a key."""

    def test_owners_of_keys(self):
        version = ConfirmedVersion(0, 1, (TENANT,))
        assert version.find_owner('k2') is TENANT
        assert version.find_owner('') is None
        assert ConfirmedVersion(0, 1).find_owner('k2') is None
