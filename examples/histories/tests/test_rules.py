"""Each rule detects the constructed histories that violate it."""

import dataclasses

import pytest

from examples.histories import fleetrules, requestrules  # noqa: F401
from examples.histories.records import (
    AnswerContent,
    ConfigChange,
    ConfigObservation,
    Disconnect,
    History,
    InjectedFault,
    ReceivedAnswer,
    Run,
    SentRequest,
    VmObservation,
)
from examples.histories.registry import RULES, find_violations

SENT = SentRequest(1, 10, 'booking.1', 'k1', 'booking', 'entry-1', False, 3, 50)
CONTENT = AnswerContent('booking.1', 'a-r1', 3, 50, 40)
ANSWER = ReceivedAnswer(1, 11, 200, 'a-r1', content=CONTENT)
RUN = Run('booking-1', 'a-r1', 'k1', 'booking.1', 'booking', 10.5)
REFUSAL = ReceivedAnswer(1, 11, 503, 'a-r1', 'overloaded', 'not_run')
VM = VmObservation('booking-1', 1, 'booking', 'in_service', 0, 1, 1)
CHANGE = ConfigChange(1, 20, 5, 6, 'accepted')
OBSERVATION = ConfigObservation('entry-1', 30, 6)
POOLS = (
    ('booking', ('booking', 'administration')),
    ('weighing', ('weighing',)),
)

VALID = History(
    sent=(SENT,),
    answered=(ANSWER,),
    runs=(RUN,),
    changes=(CHANGE, ConfigChange(2, 20, 5, 0, 'not_run')),
    configs=(ConfigObservation('entry-1', 21, 5), OBSERVATION),
    vms=(
        VM,
        VmObservation('booking-1', 2, 'booking', 'draining', 0, 1, 100),
        VmObservation('booking-1', 3, 'weighing', 'returning', 1, 1, 101),
        VmObservation('booking-1', 4, 'weighing', 'in_service', 1, 2, 110),
    ),
    audit=(1,),
    pools=POOLS,
)


def replace_fields(record, **fields):
    return dataclasses.replace(record, **fields)


def replace_content(**fields):
    return replace_fields(ANSWER, content=replace_fields(CONTENT, **fields))


def find_rules(**fields):
    found = find_violations(replace_fields(VALID, **fields))
    return {violation.rule for violation in found}


REPEATED = replace_fields(SENT, number=2)
SECOND = replace_fields(ANSWER, number=2)
UNKEYED = replace_fields(SENT, key='')
NOT_READY = replace_fields(REFUSAL, kind='not_ready')
REPLACEMENT = InjectedFault('replace', 'entry-1', 9.5, 15)
LEAVE_MARK = InjectedFault('leave', 'booking-1', 5, 20)
LATE_RUN = replace_fields(
    RUN, request_id='a-r9', tag='x', key='', started_at=103.5
)

INVALID = [
    ('once', {'runs': (RUN, replace_fields(RUN, request_id='b-r1'))}),
    (
        'unkeyed_once',
        {
            'sent': (UNKEYED,),
            'runs': (replace_fields(RUN, key=''), replace_fields(RUN, key='')),
        },
    ),
    ('not_run', {'answered': (REFUSAL,)}),
    ('not_run_tag', {'answered': (replace_fields(REFUSAL, request_id=''),)}),
    ('whole', {'answered': (replace_content(size=49),)}),
    ('whole', {'answered': (replace_content(received=2),)}),
    ('whole', {'answered': (replace_fields(ANSWER, content=None),)}),
    ('own', {'answered': (replace_content(tag='booking.2'),)}),
    (
        'own',
        {
            'answered': (replace_content(request_id='a-r2'),),
            'runs': (replace_fields(RUN, request_id='a-r2', key='k2'),),
        },
    ),
    ('ran', {'runs': ()}),
    ('uncut', {'answered': (), 'disconnects': (Disconnect(1, 12, 'reset'),)}),
    (
        'uncut',
        {
            'answered': (),
            'disconnects': (Disconnect(1, 12, 'reset'),),
            'injected_faults': (
                InjectedFault('replace', 'entry-1', 9, 15),
                InjectedFault('kill', 'entry-2', 9, 15),
                InjectedFault('kill', 'entry-1', 13, 15),
            ),
        },
    ),
    (
        'unrefused',
        {'answered': (NOT_READY,), 'injected_faults': (REPLACEMENT,)},
    ),
    (
        'unrefused',
        {
            'sent': (replace_fields(SENT, at=10.8, probed_at=9.6),),
            'answered': (NOT_READY,),
            'injected_faults': (REPLACEMENT,),
        },
    ),
    ('answered', {'answered': ()}),
    ('answered', {'disconnects': (Disconnect(1, 12, 'reset'),)}),
    ('leaving', {'injected_faults': (LEAVE_MARK,)}),
    (
        'restarts',
        {'injected_faults': (InjectedFault('stuck', 'entry-1', 9, 99),)},
    ),
    ('leaving', {'runs': (RUN, LATE_RUN)}),
    (
        'one_pool',
        {
            'vms': (
                VM,
                replace_fields(
                    VM, revision=2, pool='weighing', epoch=1, boot=2
                ),
            )
        },
    ),
    (
        'one_pool',
        {
            'vms': (
                replace_fields(VM, state='returning'),
                replace_fields(VM, revision=2, pool='weighing', boot=2),
            )
        },
    ),
    ('fence', {'vms': (*VALID.vms[:3], replace_fields(VALID.vms[3], boot=1))}),
    ('one_service', {'runs': (RUN, replace_fields(LATE_RUN, started_at=111))}),
    ('in_force', {'configs': (replace_fields(OBSERVATION, revision=5),)}),
    (
        'no_revert',
        {
            'configs': (
                OBSERVATION,
                replace_fields(OBSERVATION, at=31, revision=5),
            )
        },
    ),
    (
        'one_winner',
        {
            'changes': (CHANGE, ConfigChange(2, 21, 5, 7, 'accepted')),
            'audit': (1, 2),
        },
    ),
    ('audited', {'audit': ()}),
    ('audited', {'audit': (1, 1)}),
    ('audited', {'audit': (1, 2)}),
]


class TestRules:
    def test_a_valid_history_has_no_violations(self):
        assert find_violations(VALID) == []

    @pytest.mark.parametrize(('rule', 'fields'), INVALID)
    def test_a_violation_is_detected(self, rule, fields):
        assert rule in find_rules(**fields)

    def test_each_rule_has_an_invalid_history(self):
        assert {rule for rule, _ in INVALID} == set(RULES)


class TestExceptions:
    @pytest.mark.parametrize('kind', ['kill', 'freeze'])
    def test_a_kill_or_freeze_may_cut_requests_of_its_daemon(self, kind):
        injected = InjectedFault(kind, 'entry-1', 11.5, 13)
        disconnect = Disconnect(1, 12, 'reset')
        assert (
            find_rules(
                answered=(),
                disconnects=(disconnect,),
                injected_faults=(injected,),
            )
            == set()
        )

    def test_a_repeat_may_get_the_answer_of_its_key(self):
        repeat = replace_fields(SECOND, request_id='b-r1')
        found = find_rules(
            sent=(SENT, REPEATED),
            answered=(ANSWER, repeat),
        )
        assert found == set()

    def test_a_refused_repeat_does_not_concern_the_first_request(self):
        refusal = replace_fields(REFUSAL, number=2, request_id='b-r1')
        found = find_rules(
            sent=(SENT, REPEATED),
            answered=(ANSWER, refusal),
        )
        assert found == set()

    def test_a_balancer_with_an_old_probe_may_be_refused(self):
        found = find_rules(
            sent=(replace_fields(SENT, at=10.8, probed_at=9.4),),
            answered=(replace_fields(NOT_READY, request_id='b-r1'),),
            injected_faults=(REPLACEMENT,),
            runs=(),
        )
        assert found == set()

    def test_an_idempotent_request_may_run_again(self):
        found = find_rules(
            sent=(replace_fields(SENT, idempotent=True),),
            runs=(RUN, replace_fields(RUN, target='booking-2')),
        )
        assert found == set()

    def test_work_may_start_within_the_leave_seconds(self):
        run = replace_fields(RUN, started_at=102.9)
        assert find_rules(runs=(run,)) == {'one_service'}
        assert (
            find_rules(runs=(replace_fields(RUN, started_at=100.9),)) == set()
        )

    def test_a_resumed_daemon_has_time_to_apply_changes(self):
        injected = InjectedFault('freeze', 'entry-1', 20, 26)
        found = find_rules(
            configs=(replace_fields(OBSERVATION, revision=5),),
            injected_faults=(injected,),
        )
        assert found == set()

    def test_a_service_may_borrow_slots_of_another_pool(self):
        vms = (replace_fields(VM, pool='administration'),)
        assert find_rules(vms=vms) == set()
        assert find_rules(vms=(replace_fields(VM, pool='weighing'),)) == {
            'one_service'
        }
