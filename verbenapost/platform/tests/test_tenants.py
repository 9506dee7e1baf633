"""Tenants of the operator configuration, and callers' API keys."""

import json

import pytest
from result import Err, Ok

from verbenapost.platform.authorization import (
    AuthenticationFault,
    digest_key,
    read_authorization,
)
from verbenapost.platform.records import decode_configuration
from verbenapost.state.resources import Resources
from verbenapost.state.tenants import TenantTerms

KEY = 'pqk8bdk9eevyxq2yyaza'
OTHER = 'x6pw0s4n1cq7u2m9dkeh'
TENANT = {
    'name': 'cugo130',
    'api_keys': [KEY, OTHER],
    'priority': 1,
    'weight': 110,
    'cap': {'cpu': 2542997, 'mem_mb': 7438815, 'gpu': 0},
}
ROUTE = {
    'name': 'plan',
    'hostname': 'host',
    'prefix': '/plan/',
    'service': 'routing',
}


def decode(**fields):
    """Return the decoded configuration with some fields given."""
    base = {'version': 7, 'routes': [ROUTE], 'services': []}
    return decode_configuration(json.dumps(base | fields).encode())


def find_fault(*changes):
    """Return the error for tenants that differ from a valid one."""
    tenants = [
        TENANT | {'name': f't{number}', 'api_keys': [f'{KEY}{number}']} | row
        for number, row in enumerate(changes)
    ]
    return decode(tenants=tenants).err_value


class TestTenants:
    def test_documented_example_is_decoded(self):
        tenant = decode(tenants=[TENANT]).ok_value.tenants['cugo130']
        cap = Resources(2542997, 7438815)
        assert tenant.terms == TenantTerms('cugo130', 110, cap)
        assert tenant.key_digests == {
            digest_key(KEY.encode()),
            digest_key(OTHER.encode()),
        }

    def test_an_empty_list_is_not_a_missing_one(self):
        """Callers need keys as soon as the field is there."""
        assert decode().ok_value.tenants is None
        assert decode(tenants=[]).ok_value.tenants == {}

    def test_fields_that_are_missing_set_no_limit(self):
        tenant = decode(tenants=[{'name': 't'}]).ok_value.tenants['t']
        assert tenant.terms == TenantTerms('t', 1, Resources())
        assert not tenant.key_digests

    @pytest.mark.parametrize('weight', [0, 0.5, 3, 1e9])
    def test_weight_may_be_any_number_from_zero(self, weight):
        row = TENANT | {'weight': weight}
        (tenant,) = decode(tenants=[row]).ok_value.tenants.values()
        assert tenant.terms.weight == weight

    @pytest.mark.parametrize(
        ('change', 'fault'),
        [
            ({'name': ''}, 'name must not be empty'),
            ({'name': None}, 'name must be a string'),
            ({'name': '\ud800'}, 'name must be encodable in UTF-8'),
            ({'cap': {'cpu': -5}}, 'cap.cpu is -5, must be 0 or more'),
            ({'cap': {'mem_mb': -1}}, 'cap.mem_mb is -1, must be 0 or more'),
            ({'cap': {'gpu': 1.5}}, 'cap.gpu is 1.5, must be a whole number'),
            ({'cap': {'cpu': True}}, 'cap.cpu is True, must be a whole number'),
            ({'cap': {'cpu': '5'}}, 'cap.cpu must be a whole number'),
            ({'cap': {'cpu': 2**63}}, f'cap.cpu must be at most {2**63 - 1}'),
            ({'cap': None}, 'cap must be an object'),
            ({'weight': -0.5}, 'weight is -0.5, must be 0 or more'),
            ({'weight': float('nan')}, 'weight is nan, must be 0 or more'),
            ({'weight': float('inf')}, f'weight must be at most {2**63 - 1}'),
            ({'weight': True}, 'weight must be a number'),
            ({'weight': '3'}, 'weight must be a number'),
            ({'weight': None}, 'weight must be a number'),
            ({'api_keys': 'text'}, 'api_keys must be a list'),
            ({'api_keys': ['a', '']}, 'api_keys.1 must not be empty'),
            ({'api_keys': [7]}, 'api_keys.0 must be a string'),
            (
                {'api_keys': ['a', 'a']},
                'api_keys.1 is the same key as tenants.1.api_keys.0',
            ),
        ],
    )
    def test_error_has_path_value_and_rule(self, change, fault):
        assert find_fault({}, change) == f'tenants.1.{fault}'

    def test_two_tenants_must_not_share_a_name(self):
        fault = find_fault({'name': 'a'}, {}, {'name': 'a'})
        assert fault == "tenants.2.name is 'a', which is given twice"

    def test_two_tenants_must_not_share_a_key(self):
        fault = find_fault({'api_keys': ['b', KEY]}, {'api_keys': [KEY]})
        expected = (
            'tenants.1.api_keys.0 is the same key as tenants.0.api_keys.1'
        )
        assert fault == expected

    @pytest.mark.parametrize('tenants', [None, {}, 'text', 7, False])
    def test_anything_but_a_list_is_refused(self, tenants):
        """Such a version must not turn authentication off."""
        assert decode(tenants=tenants).err_value == 'tenants must be a list'

    @pytest.mark.parametrize(
        'tenants',
        [
            [KEY],
            [TENANT, TENANT | {'name': 'b'}],
            [TENANT | {'api_keys': KEY}],
            [TENANT | {'api_keys': [KEY, f'{KEY}\ud800']}],
            [TENANT | {'api_keys': [[KEY]]}],
            [TENANT | {'cap': KEY}],
            [TENANT | {'cap': {'cpu': KEY}}],
            [TENANT | {'weight': KEY}],
        ],
    )
    def test_no_error_repeats_a_key(self, tenants):
        decoded = decode(tenants=tenants)
        assert isinstance(decoded, Err)
        assert KEY not in str(decoded)

    def test_no_key_is_kept(self):
        configuration = decode(tenants=[TENANT]).ok_value
        assert KEY not in repr(configuration)


class TestExemptRoutes:
    def test_a_route_is_exempt_only_where_it_says_so(self):
        for value in (True, False):
            route = ROUTE | {'auth_exempt': value}
            configuration = decode(routes=[route]).ok_value
            assert configuration.routes['plan'].auth_exempt is value
        assert not decode().ok_value.routes['plan'].auth_exempt

    @pytest.mark.parametrize('value', [1, 'true', None])
    def test_anything_but_a_flag_is_refused(self, value):
        assert decode(routes=[ROUTE | {'auth_exempt': value}]).is_err()


class TestAuthorization:
    @pytest.mark.parametrize(
        'header', [b'Token KEY', b'token  KEY ', b'TOKEN\tKEY']
    )
    def test_key_is_read_as_its_digest(self, header):
        assert read_authorization(header) == Ok(digest_key(b'KEY'))

    @pytest.mark.parametrize(
        ('header', 'fault'),
        [
            (None, AuthenticationFault.MISSING),
            (b'', AuthenticationFault.MISSING),
            (b'  ', AuthenticationFault.MALFORMED),
            (b'KEY', AuthenticationFault.MALFORMED),
            (b'Token', AuthenticationFault.MALFORMED),
            (b'Token ', AuthenticationFault.MALFORMED),
            (b'Bearer KEY', AuthenticationFault.MALFORMED),
            (b'Token KEY KEY', AuthenticationFault.MALFORMED),
            (b'Token KEY, Token KEY', AuthenticationFault.MALFORMED),
        ],
    )
    def test_other_headers_are_told_apart(self, header, fault):
        assert read_authorization(header) == Err(fault)
