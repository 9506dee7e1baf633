"""Each rule catches the histories that were made up to break it."""

import dataclasses

import pytest

from examples.histories import fleetrules, requestrules  # noqa: F401
from examples.histories.records import (
    Answered,
    ConfigChange,
    ConfigSeen,
    Content,
    Cut,
    History,
    Run,
    Sent,
    Strike,
    VmSeen,
)
from examples.histories.registry import RULES, find_violations

SENT = Sent(1, 10, 'booking.1', 'k1', 'booking', 'entry-1', False, 3, 50)
CONTENT = Content('booking.1', 'a-r1', 3, 50, 40)
ANSWER = Answered(1, 11, 200, 'a-r1', content=CONTENT)
RUN = Run('booking-1', 'a-r1', 'k1', 'booking.1', 'booking', 10.5)
REFUSAL = Answered(1, 11, 503, 'a-r1', 'overloaded', 'not_run')
VM = VmSeen('booking-1', 1, 'booking', 'in_service', 0, 1, 1)
CHANGE = ConfigChange(1, 20, 5, 6, 'accepted')
SEEN = ConfigSeen('entry-1', 30, 6)
POOLS = (
    ('booking', ('booking', 'administration')),
    ('weighing', ('weighing',)),
)

GOOD = History(
    sent=(SENT,),
    answered=(ANSWER,),
    runs=(RUN,),
    changes=(CHANGE, ConfigChange(2, 20, 5, 0, 'not_run')),
    configs=(ConfigSeen('entry-1', 21, 5), SEEN),
    vms=(
        VM,
        VmSeen('booking-1', 2, 'booking', 'draining', 0, 1, 100),
        VmSeen('booking-1', 3, 'weighing', 'returning', 1, 1, 101),
        VmSeen('booking-1', 4, 'weighing', 'in_service', 1, 2, 110),
    ),
    audit=(1,),
    pools=POOLS,
)


def change(record, **fields):
    return dataclasses.replace(record, **fields)


def change_content(**fields):
    return change(ANSWER, content=change(CONTENT, **fields))


def find_rules(**fields):
    found = find_violations(change(GOOD, **fields))
    return {violation.rule for violation in found}


REPEATED = change(SENT, number=2)
SECOND = change(ANSWER, number=2)
UNKEYED = change(SENT, key='')
NOT_READY = change(REFUSAL, kind='not_ready')
END = Strike('replace', 'entry-1', 9.5, 15)
MARK = Strike('leave', 'booking-1', 5, 20)
LATE_RUN = change(RUN, request_id='a-r9', tag='x', key='', started_at=103.5)

BAD = [
    ('once', {'runs': (RUN, change(RUN, request_id='b-r1'))}),
    (
        'unkeyed_once',
        {
            'sent': (UNKEYED,),
            'runs': (change(RUN, key=''), change(RUN, key='')),
        },
    ),
    ('not_run', {'answered': (REFUSAL,)}),
    ('not_run_tag', {'answered': (change(REFUSAL, request_id=''),)}),
    ('whole', {'answered': (change_content(size=49),)}),
    ('whole', {'answered': (change_content(received=2),)}),
    ('whole', {'answered': (change(ANSWER, content=None),)}),
    ('own', {'answered': (change_content(tag='booking.2'),)}),
    (
        'own',
        {
            'answered': (change_content(request_id='a-r2'),),
            'runs': (change(RUN, request_id='a-r2', key='k2'),),
        },
    ),
    ('ran', {'runs': ()}),
    ('uncut', {'answered': (), 'cuts': (Cut(1, 12, 'reset'),)}),
    (
        'uncut',
        {
            'answered': (),
            'cuts': (Cut(1, 12, 'reset'),),
            'strikes': (
                Strike('replace', 'entry-1', 9, 15),
                Strike('kill', 'entry-2', 9, 15),
                Strike('kill', 'entry-1', 13, 15),
            ),
        },
    ),
    ('unrefused', {'answered': (NOT_READY,), 'strikes': (END,)}),
    (
        'unrefused',
        {
            'sent': (change(SENT, at=10.8, probed_at=9.6),),
            'answered': (NOT_READY,),
            'strikes': (END,),
        },
    ),
    ('answered', {'answered': ()}),
    ('answered', {'cuts': (Cut(1, 12, 'reset'),)}),
    ('leaving', {'strikes': (MARK,)}),
    ('restarts', {'strikes': (Strike('stuck', 'entry-1', 9, 99),)}),
    ('leaving', {'runs': (RUN, LATE_RUN)}),
    (
        'one_pool',
        {'vms': (VM, change(VM, revision=2, pool='weighing', epoch=1, boot=2))},
    ),
    (
        'one_pool',
        {
            'vms': (
                change(VM, state='returning'),
                change(VM, revision=2, pool='weighing', boot=2),
            )
        },
    ),
    ('fence', {'vms': (*GOOD.vms[:3], change(GOOD.vms[3], boot=1))}),
    ('one_service', {'runs': (RUN, change(LATE_RUN, started_at=111))}),
    ('in_force', {'configs': (change(SEEN, revision=5),)}),
    ('no_revert', {'configs': (SEEN, change(SEEN, at=31, revision=5))}),
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
    def test_good_history(self):
        assert find_violations(GOOD) == []

    @pytest.mark.parametrize(('rule', 'fields'), BAD)
    def test_bad_history(self, rule, fields):
        assert rule in find_rules(**fields)

    def test_each_rule_has_a_bad_history(self):
        assert {rule for rule, _ in BAD} == set(RULES)


class TestExcuses:
    @pytest.mark.parametrize('kind', ['kill', 'freeze'])
    def test_a_kill_may_cut_the_requests_of_its_daemon(self, kind):
        strike = Strike(kind, 'entry-1', 11.5, 13)
        cut = Cut(1, 12, 'reset')
        assert find_rules(answered=(), cuts=(cut,), strikes=(strike,)) == set()

    def test_a_repeat_may_get_the_answer_of_its_key(self):
        repeat = change(SECOND, request_id='b-r1')
        found = find_rules(
            sent=(SENT, REPEATED),
            answered=(ANSWER, repeat),
        )
        assert found == set()

    def test_a_refused_repeat_says_nothing_of_the_first(self):
        refusal = change(REFUSAL, number=2, request_id='b-r1')
        found = find_rules(
            sent=(SENT, REPEATED),
            answered=(ANSWER, refusal),
        )
        assert found == set()

    def test_a_balancer_that_does_not_probe_is_refused(self):
        found = find_rules(
            sent=(change(SENT, at=10.8, probed_at=9.4),),
            answered=(change(NOT_READY, request_id='b-r1'),),
            strikes=(END,),
            runs=(),
        )
        assert found == set()

    def test_an_idempotent_request_may_run_again(self):
        found = find_rules(
            sent=(change(SENT, idempotent=True),),
            runs=(RUN, change(RUN, target='booking-2')),
        )
        assert found == set()

    def test_work_may_come_within_the_allowed_seconds(self):
        run = change(RUN, started_at=102.9)
        assert find_rules(runs=(run,)) == {'one_service'}
        assert find_rules(runs=(change(RUN, started_at=100.9),)) == set()

    def test_a_daemon_that_wakes_has_its_seconds(self):
        strike = Strike('freeze', 'entry-1', 20, 26)
        found = find_rules(
            configs=(change(SEEN, revision=5),), strikes=(strike,)
        )
        assert found == set()

    def test_a_lent_slot_is_no_second_pool(self):
        vms = (change(VM, pool='administration'),)
        assert find_rules(vms=vms) == set()
        assert find_rules(vms=(change(VM, pool='weighing'),)) == {'one_service'}
