"""Tests of the decisions of a claim arbiter."""

import pytest

from verbenapost.coordination.claims import arbiter as arbiter_module
from verbenapost.coordination.claims.ring import Ring
from verbenapost.coordination.claims.tests.helpers import (
    WALL,
    Log,
    get_messages,
    make_arbiter,
    make_key,
    send_attempt,
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
        arbiter = make_arbiter()
        assert not send_attempt(arbiter, KEY)
        assert get_messages(Log().write(arbiter)) == [ClaimGranted(KEY, 1)]

    def test_one_write_carries_many_claims(self):
        arbiter = make_arbiter()
        for tail in range(500):
            send_attempt(arbiter, make_key(tail), tail)
        assert len(Log().write(arbiter)) == 500

    def test_the_same_attempt_is_granted_again(self):
        arbiter = make_arbiter()
        send_attempt(arbiter, KEY)
        Log().write(arbiter)
        assert send_attempt(arbiter, KEY) == [ClaimGranted(KEY, 1)]

    def test_a_lost_write_grants_nothing(self):
        log, first, second = Log(), make_arbiter(), make_arbiter(writer='x')
        send_attempt(second, KEY, 2)
        second.start_write(WALL)
        send_attempt(first, KEY, 1)
        log.write(first)
        assert not log.catch_up(second)
        assert not second.fail_write(WALL)
        late = get_messages(second.refuse_timed_out(11, WALL))
        assert late[0].kind == ErrorKind.ALREADY_CLAIMED

    def test_queued_attempts_are_decided_again_after_a_lost_write(self):
        log, first, second = Log(), make_arbiter(), make_arbiter(writer='x')
        second.start_write(WALL)
        send_attempt(second, KEY, 2)
        send_attempt(first, KEY, 1)
        log.write(first)
        log.catch_up(second)
        second.fail_write(WALL)
        assert not log.write(second)

    def test_a_timed_out_attempt_keeps_its_key_while_in_flight(self):
        arbiter = make_arbiter()
        send_attempt(arbiter, KEY, 1, wait=1)
        write = arbiter.start_write(WALL)
        late = get_messages(arbiter.refuse_timed_out(2, WALL))
        assert late[0].outcome == Outcome.NOT_RUN
        send_attempt(arbiter, KEY, 2)
        assert not arbiter.finish_write(1, WALL)
        assert not arbiter.start_write(WALL).claims
        assert write.answered


class TestRepeats:
    def test_a_repeat_waits_for_the_answer(self):
        log, arbiter = Log(), make_arbiter()
        send_attempt(arbiter, KEY, 1)
        log.write(arbiter)
        assert not send_attempt(arbiter, KEY, 2)
        report = RecordOutcome(KEY, 1, status=201, body=b'done')
        assert not arbiter.record_outcome(report, 1, WALL)
        answer = ClaimRepeated(KEY, 2, 201, '', b'done')
        assert get_messages(log.write(arbiter)) == [answer]
        assert send_attempt(arbiter, KEY, 3)[0].body == b'done'

    def test_another_request_with_the_key_is_refused(self):
        arbiter = make_arbiter()
        send_attempt(arbiter, KEY, 1)
        pending = send_attempt(arbiter, KEY, 2, fingerprint=b'x')
        Log().write(arbiter)
        claimed = send_attempt(arbiter, KEY, 3, fingerprint=b'x')
        assert pending[0].kind == claimed[0].kind == ErrorKind.KEY_REUSED

    def test_a_released_key_goes_to_the_waiting_attempt(self):
        log, arbiter = Log(), make_arbiter()
        send_attempt(arbiter, KEY, 1)
        log.write(arbiter)
        send_attempt(arbiter, KEY, 2)
        arbiter.record_outcome(RecordOutcome(KEY, 1, released=True), 1, WALL)
        assert not log.write(arbiter)
        assert get_messages(log.write(arbiter)) == [ClaimGranted(KEY, 2)]

    def test_only_the_holder_releases(self):
        log, arbiter = Log(), make_arbiter()
        send_attempt(arbiter, KEY, 1)
        log.write(arbiter)
        arbiter.record_outcome(RecordOutcome(KEY, 2, released=True), 1, WALL)
        assert arbiter.find_due_time() is None
        assert arbiter.ring.claim_count == 1

    def test_a_released_attempt_is_never_written(self):
        arbiter = make_arbiter()
        send_attempt(arbiter, KEY, 1)
        send_attempt(arbiter, KEY, 2)
        arbiter.record_outcome(RecordOutcome(KEY, 1, released=True), 1, WALL)
        assert get_messages(Log().write(arbiter)) == [ClaimGranted(KEY, 2)]


class TestWindow:
    @pytest.mark.parametrize('age', [301, -31])
    def test_other_keys_are_denied_after_a_write(self, age):
        arbiter = make_arbiter()
        key = make_key(0, WALL - age)
        assert not send_attempt(arbiter, key)
        denied = get_messages(Log().write(arbiter))[0]
        assert denied.kind == ErrorKind.KEY_EXPIRED
        assert denied.outcome == Outcome.NOT_RUN

    @pytest.mark.parametrize('key', ['', 'x', None, make_key()[:14] + '4'])
    def test_malformed_keys_are_refused(self, key):
        assert (
            send_attempt(make_arbiter(), key)[0].kind == ErrorKind.BAD_REQUEST
        )

    def overwrite(self):
        """Expire a claim by a fast clock and repeat it by a slow clock."""
        log, fast, slow = (
            Log(),
            make_arbiter(1, 10, 'f'),
            make_arbiter(1, 10, 's'),
        )
        send_attempt(fast, KEY, 1)
        log.write(fast)
        send_attempt(fast, make_key(9, WALL + 20), 2, wall=WALL + 20)
        log.write(fast, WALL + 20)
        log.catch_up(slow)
        return slow, send_attempt(slow, KEY, 3, wall=WALL + 5)

    def test_a_forgotten_key_is_never_claimed_again(self):
        _, answers = self.overwrite()
        assert answers[0].kind == ErrorKind.KEY_EXPIRED
        assert answers[0].outcome == Outcome.UNKNOWN

    def test_the_floor_prevents_a_second_claim(self, monkeypatch):
        floor = property(lambda ring: ring.floor)
        monkeypatch.setattr(Ring, 'next_floor', floor)
        monkeypatch.setattr(Ring, 'forget_expired', lambda *_: None)
        slow, answers = self.overwrite()
        assert not answers
        assert get_messages(Log().write(slow)) == [ClaimGranted(KEY, 3)]

    def test_a_claim_that_its_own_write_expires_is_denied(self):
        log, arbiter = Log(), make_arbiter(1, 10)
        send_attempt(arbiter, make_key(0, WALL + 5), 1)
        log.write(arbiter)
        send_attempt(arbiter, KEY, 2, wall=WALL)
        denied = get_messages(log.write(arbiter, WALL + 20))[0]
        assert denied.kind == ErrorKind.KEY_EXPIRED

    def test_forgotten_claims_stay_expired_when_the_clock_is_set_back(self):
        log, arbiter = Log(), make_arbiter(size=99)
        for tail in range(9):
            send_attempt(arbiter, make_key(tail), tail)
            log.write(arbiter)
        fresh = make_key(0, WALL + 301)
        send_attempt(arbiter, fresh, 10, wall=WALL + 301)
        log.write(arbiter, WALL + 301)
        assert arbiter.ring.claim_count == 1
        answers = send_attempt(arbiter, make_key(3), 11, wall=WALL)
        assert answers[0].outcome == Outcome.UNKNOWN
        assert log.records[-1].floor == int(WALL * 1000)

    def test_remembered_claims_are_bounded(self, monkeypatch):
        monkeypatch.setattr(arbiter_module, 'MAX_CLAIMS', 3)
        log, arbiter = Log(), make_arbiter()
        for tail in range(3):
            send_attempt(arbiter, make_key(tail), tail)
        log.write(arbiter)
        refused = send_attempt(arbiter, make_key(3), 3)
        assert refused[0].kind == ErrorKind.OVERLOADED

    def test_a_full_ring_refuses(self):
        log, arbiter = Log(), make_arbiter(size=2)
        for tail in range(2):
            send_attempt(arbiter, make_key(tail), tail)
            log.write(arbiter)
        send_attempt(arbiter, make_key(2), 2)
        assert arbiter.is_full(WALL)
        assert (
            get_messages(arbiter.refuse_full())[0].kind == ErrorKind.OVERLOADED
        )
        assert not arbiter.is_full(WALL + 301)


class TestRefuseAll:
    def test_leaving_refuses_all(self):
        arbiter = make_arbiter()
        send_attempt(arbiter, KEY, 1)
        arbiter.start_write(WALL)
        send_attempt(arbiter, make_key(1), 2)
        send_attempt(arbiter, KEY, 3)
        refused = get_messages(arbiter.refuse_all())
        assert {refusal.kind for refusal in refused} == {ErrorKind.NOT_READY}
        assert len(refused) == 3
