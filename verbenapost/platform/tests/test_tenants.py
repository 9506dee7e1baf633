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
from verbenapost.state.tenants import Tenant, TenantTerms

KEY = 'pqk8bdk9eevyxq2yyaza'
CAP = {'cpu': 2542997, 'mem_mb': 7438815, 'gpu': 0}
TENANT = {'name': 'a', 'api_keys': [KEY, 'x'], 'weight': 0.5, 'cap': CAP}
BOUND = 2**63 - 1


def decode(**fields):
    """Return the decoded configuration with some fields given."""
    base = {'version': 7, 'routes': [], 'services': []}
    return decode_configuration(json.dumps(base | fields).encode())


class TestTenants:
    """A faulty list must not turn off authentication or show a key."""

    def test_fields_are_decoded_and_may_be_missing(self):
        tenants = decode(tenants=[TENANT, {'name': 'b'}]).ok_value.tenants
        terms = TenantTerms('a', 0.5, Resources(2542997, 7438815))
        digests = frozenset(map(digest_key, (KEY.encode(), b'x')))
        assert tenants['a'] == Tenant(terms, digests)
        assert tenants['b'] == Tenant(TenantTerms('b', 1, Resources()))
        assert KEY not in repr(tenants)

    def test_an_empty_list_is_not_a_missing_one(self):
        """Callers need keys as soon as the field is there."""
        assert decode().ok_value.tenants is None
        assert decode(tenants=[]).ok_value.tenants == {}

    @pytest.mark.parametrize(
        ('change', 'fault'),
        [
            ({'name': ''}, 'name must not be empty'),
            ({'name': None}, 'name must be a string'),
            ({'name': '\ud800'}, 'name must be encodable in UTF-8'),
            ({'name': 'a'}, "name is 'a', which is given twice"),
            ({'cap': {'cpu': -5}}, 'cap.cpu is -5, must be 0 or more'),
            ({'cap': {'gpu': 1.5}}, 'cap.gpu is 1.5, must be a whole number'),
            ({'cap': {'cpu': True}}, 'cap.cpu is True, must be a whole number'),
            ({'cap': {'mem_mb': KEY}}, 'cap.mem_mb must be a whole number'),
            ({'cap': {'cpu': 2**63}}, f'cap.cpu must be at most {BOUND}'),
            ({'cap': KEY}, 'cap must be an object'),
            ({'weight': -0.5}, 'weight is -0.5, must be 0 or more'),
            ({'weight': float('nan')}, 'weight is nan, must be 0 or more'),
            ({'weight': float('inf')}, f'weight must be at most {BOUND}'),
            ({'weight': True}, 'weight must be a number'),
            ({'weight': KEY}, 'weight must be a number'),
            ({'api_keys': KEY}, 'api_keys must be a list'),
            ({'api_keys': ['b', '']}, 'api_keys.1 must not be empty'),
            ({'api_keys': [[KEY]]}, 'api_keys.0 must be a string'),
            (
                {'api_keys': [f'{KEY}\ud800']},
                'api_keys.0 must be encodable in UTF-8',
            ),
            (
                {'api_keys': ['b', KEY]},
                'api_keys.1 is the same key as tenants.0.api_keys.0',
            ),
        ],
    )
    def test_error_has_path_and_rule_but_no_key(self, change, fault):
        row = TENANT | {'name': 'b', 'api_keys': []} | change
        decoded = decode(tenants=[TENANT, row])
        assert decoded.err_value == f'tenants.1.{fault}'

    @pytest.mark.parametrize('tenants', [None, {}, KEY, False])
    def test_anything_but_a_list_is_refused(self, tenants):
        """Such a version must not turn authentication off."""
        assert decode(tenants=tenants) == Err('tenants must be a list')
        assert decode(tenants=[tenants]).is_err()


class TestExemptRoutes:
    """A route must not lose its authentication by accident."""

    @pytest.mark.parametrize(
        ('field', 'exempt'), [({}, False), ({'auth_exempt': True}, True)]
    )
    def test_a_route_is_exempt_only_where_it_says_so(self, field, exempt):
        texts = dict.fromkeys(('name', 'hostname', 'prefix', 'service'), 'a')
        decoded = decode(routes=[texts | field])
        assert decoded.ok_value.routes['a'].auth_exempt is exempt
        assert decode(routes=[texts | {'auth_exempt': 1}]).is_err()


class TestAuthorization:
    """A header in another form must not be taken for a key."""

    @pytest.mark.parametrize('header', [b'Token KEY', b'token  KEY '])
    def test_key_is_read_as_its_digest(self, header):
        assert read_authorization(header) == Ok(digest_key(b'KEY'))

    @pytest.mark.parametrize(
        'header', [b' ', b'KEY', b'Token ', b'Bearer KEY', b'Token A, Token B']
    )
    def test_other_headers_are_malformed(self, header):
        fault = AuthenticationFault.MALFORMED
        assert read_authorization(header) == Err(fault)
        assert read_authorization(b'') == Err(AuthenticationFault.MISSING)
