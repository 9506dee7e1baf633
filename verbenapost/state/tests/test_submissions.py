"""Tests of the stored form of submitted jobs."""

import msgpack
import pytest

from verbenapost.state.resources import Resources
from verbenapost.state.submissions import pack_job, unpack_job
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import JobSpec, Route, StepSpec

JOB = '5c0e7a21d94b36f8'
ROUTE = Route('plan', 'host', '/plan/', 'routing')


class TestTenantOfAJob:
    """A record that loses its tenant would let a job escape its cap."""

    def test_it_is_stored_with_its_cap(self) -> None:
        terms = TenantTerms('portal', 4, Resources(8000, 4096, 1))
        spec = JobSpec(JOB, 'plan', '', (StepSpec(1),), tenant=terms)
        assert unpack_job(pack_job(spec)) == spec

    def test_a_malformed_cap_is_refused(self) -> None:
        fields = msgpack.unpackb(
            pack_job(
                JobSpec(
                    JOB,
                    'plan',
                    '',
                    (StepSpec(1),),
                    tenant=TenantTerms('portal'),
                )
            )
        )
        fields['tenant']['cap']['cpu'] = -1
        with pytest.raises(ValueError, match='cpu'):
            unpack_job(msgpack.packb(fields))


class TestRecordsForOlderVersions:
    """A daemon of an older version refuses a record with an unknown field."""

    def test_fields_without_effect_are_left_out(self) -> None:
        spec = JobSpec(JOB, 'plan', '', (StepSpec(1),), terms=ROUTE)
        fields = msgpack.unpackb(pack_job(spec))
        assert 'tenant' not in fields
        assert 'auth_exempt' not in fields['terms']
