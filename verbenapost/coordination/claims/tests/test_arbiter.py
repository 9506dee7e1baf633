"""Tests of the decisions of a claim owner."""

import pytest

from verbenapost.coordination.claims import arbiter as desks
from verbenapost.coordination.claims.ring import Ring
from verbenapost.coordination.claims.tests.helpers import (
    WALL,
    Log,
    ask,
    make_desk,
    make_key,
    show,
)
from verbenapost.protocol.claims import (
    ClaimGranted,
    ClaimRepeated,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Outcome

KEY = make_key()


class TestGrants:
    def test_a_grant_follows_the_write(self):
        desk = make_desk()
        assert not ask(desk, KEY)
        assert show(Log().write(desk)) == [ClaimGranted(KEY, 1)]

    def test_one_write_carries_many_claims(self):
        desk = make_desk()
        for tail in range(500):
            ask(desk, make_key(tail), tail)
        assert len(Log().write(desk)) == 500

    def test_the_same_attempt_is_granted_again(self):
        desk = make_desk()
        ask(desk, KEY)
        Log().write(desk)
        assert ask(desk, KEY) == [ClaimGranted(KEY, 1)]

    def test_a_lost_write_grants_nothing(self):
        log, first, second = Log(), make_desk(), make_desk(writer='x')
        ask(second, KEY, 2)
        second.start_write(WALL)
        ask(first, KEY, 1)
        log.write(first)
        assert not log.catch_up(second)
        assert not second.lose_write(WALL)
        late = show(second.refuse_late(11, WALL))
        assert late[0].kind == ErrorKind.ALREADY_CLAIMED

    def test_queued_attempts_are_judged_anew_after_a_lost_write(self):
        log, first, second = Log(), make_desk(), make_desk(writer='x')
        second.start_write(WALL)
        ask(second, KEY, 2)
        ask(first, KEY, 1)
        log.write(first)
        log.catch_up(second)
        second.lose_write(WALL)
        assert not log.write(second)

    def test_a_late_attempt_keeps_its_key_while_its_write_flies(self):
        desk = make_desk()
        ask(desk, KEY, 1, wait=1)
        write = desk.start_write(WALL)
        late = show(desk.refuse_late(2, WALL))
        assert late[0].outcome == Outcome.NOT_RUN
        ask(desk, KEY, 2)
        assert not desk.finish_write(1, WALL)
        assert not desk.start_write(WALL).claims
        assert write.answered


class TestRepeats:
    def test_a_repeat_waits_for_the_answer(self):
        log, desk = Log(), make_desk()
        ask(desk, KEY, 1)
        log.write(desk)
        assert not ask(desk, KEY, 2)
        told = RecordOutcome(KEY, 1, status=201, body=b'done')
        assert not desk.record_outcome(told, 1, WALL)
        answer = ClaimRepeated(KEY, 2, 201, '', b'done')
        assert show(log.write(desk)) == [answer]
        assert ask(desk, KEY, 3)[0].body == b'done'

    def test_another_request_with_the_key_is_refused(self):
        desk = make_desk()
        ask(desk, KEY, 1)
        pending = ask(desk, KEY, 2, fingerprint=b'x')
        Log().write(desk)
        claimed = ask(desk, KEY, 3, fingerprint=b'x')
        assert pending[0].kind == claimed[0].kind == ErrorKind.KEY_REUSED

    def test_a_released_key_goes_to_the_waiting_attempt(self):
        log, desk = Log(), make_desk()
        ask(desk, KEY, 1)
        log.write(desk)
        ask(desk, KEY, 2)
        desk.record_outcome(RecordOutcome(KEY, 1, released=True), 1, WALL)
        assert not log.write(desk)
        assert show(log.write(desk)) == [ClaimGranted(KEY, 2)]

    def test_only_the_holder_releases(self):
        log, desk = Log(), make_desk()
        ask(desk, KEY, 1)
        log.write(desk)
        desk.record_outcome(RecordOutcome(KEY, 2, released=True), 1, WALL)
        assert desk.find_due() is None
        assert desk.ring.claim_count == 1

    def test_a_released_attempt_is_never_written(self):
        desk = make_desk()
        ask(desk, KEY, 1)
        ask(desk, KEY, 2)
        desk.record_outcome(RecordOutcome(KEY, 1, released=True), 1, WALL)
        assert show(Log().write(desk)) == [ClaimGranted(KEY, 2)]


class TestWindow:
    @pytest.mark.parametrize('age', [301, -31])
    def test_other_keys_are_denied_after_a_write(self, age):
        desk = make_desk()
        key = make_key(0, WALL - age)
        assert not ask(desk, key)
        denied = show(Log().write(desk))[0]
        assert denied.kind == ErrorKind.KEY_EXPIRED
        assert denied.outcome == Outcome.NOT_RUN

    @pytest.mark.parametrize('key', ['', 'x', None, make_key()[:14] + '4'])
    def test_malformed_keys_are_refused(self, key):
        assert ask(make_desk(), key)[0].kind == ErrorKind.BAD_REQUEST

    def overwrite(self):
        """Let a fast clock overwrite a claim that a slow one accepts."""
        log, fast, slow = Log(), make_desk(1, 10, 'f'), make_desk(1, 10, 's')
        ask(fast, KEY, 1)
        log.write(fast)
        ask(fast, make_key(9, WALL + 20), 2, wall=WALL + 20)
        log.write(fast, WALL + 20)
        log.catch_up(slow)
        return slow, ask(slow, KEY, 3, wall=WALL + 5)

    def test_a_forgotten_key_is_never_claimed_anew(self):
        _, answers = self.overwrite()
        assert answers[0].kind == ErrorKind.KEY_EXPIRED
        assert answers[0].outcome == Outcome.UNKNOWN

    def test_the_floor_is_what_keeps_it(self, monkeypatch):
        floor = property(lambda ring: ring.floor)
        monkeypatch.setattr(Ring, 'next_floor', floor)
        monkeypatch.setattr(Ring, 'forget_expired', lambda *_: None)
        slow, answers = self.overwrite()
        assert not answers
        assert show(Log().write(slow)) == [ClaimGranted(KEY, 3)]

    def test_a_claim_that_its_own_write_expires_is_denied(self):
        log, desk = Log(), make_desk(1, 10)
        ask(desk, make_key(0, WALL + 5), 1)
        log.write(desk)
        ask(desk, KEY, 2, wall=WALL)
        denied = show(log.write(desk, WALL + 20))[0]
        assert denied.kind == ErrorKind.KEY_EXPIRED

    def test_expired_claims_are_forgotten_for_good(self):
        log, desk = Log(), make_desk(size=99)
        for tail in range(9):
            ask(desk, make_key(tail), tail)
            log.write(desk)
        fresh = make_key(0, WALL + 301)
        ask(desk, fresh, 10, wall=WALL + 301)
        log.write(desk, WALL + 301)
        assert desk.ring.claim_count == 1
        answers = ask(desk, make_key(3), 11, wall=WALL)
        assert answers[0].outcome == Outcome.UNKNOWN
        assert log.records[-1].floor == int(WALL * 1000)

    def test_remembered_claims_are_bounded(self, monkeypatch):
        monkeypatch.setattr(desks, 'MAX_CLAIMS', 3)
        log, desk = Log(), make_desk()
        for tail in range(3):
            ask(desk, make_key(tail), tail)
        log.write(desk)
        refused = ask(desk, make_key(3), 3)
        assert refused[0].kind == ErrorKind.OVERLOADED

    def test_a_full_ring_refuses(self):
        log, desk = Log(), make_desk(size=2)
        for tail in range(2):
            ask(desk, make_key(tail), tail)
            log.write(desk)
        ask(desk, make_key(2), 2)
        assert desk.is_full(WALL)
        assert show(desk.refuse_full())[0].kind == ErrorKind.OVERLOADED
        assert not desk.is_full(WALL + 301)


class TestDuty:
    def test_leaving_refuses_all(self):
        desk = make_desk()
        ask(desk, KEY, 1)
        desk.start_write(WALL)
        ask(desk, make_key(1), 2)
        ask(desk, KEY, 3)
        refused = show(desk.refuse_all())
        assert {one.kind for one in refused} == {ErrorKind.NOT_READY}
        assert len(refused) == 3
