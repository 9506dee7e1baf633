"""Rules about requests, their runs and their answers."""

import collections
from collections.abc import Iterable, Iterator

from examples.histories.records import (
    AnswerContent,
    History,
    InjectedFault,
    ReceivedAnswer,
    SentRequest,
)
from examples.histories.registry import register_rule

#: Faults of a daemon that may break its connections.
_DISCONNECTING_FAULTS = frozenset(('kill', 'freeze'))

#: Balancer grace at shutdown in the settings of a local site, in seconds.
GRACE_SECONDS = 1.0

#: Status of a successful answer.
_OK_STATUS = 200


@register_rule('once')
def check_keys_run_once(history: History) -> Iterator[str]:
    """No key of a non-idempotent request ran twice."""
    non_idempotent = {
        sent.key for sent in history.sent if sent.key and not sent.idempotent
    }
    ran = (run.key for run in history.runs)
    for key, times in _find_repeated(non_idempotent, ran):
        yield f'key {key} ran {times} times'


@register_rule('unkeyed_once')
def check_unkeyed_run_once(history: History) -> Iterator[str]:
    """No non-idempotent request without a key ran twice."""
    non_idempotent = {
        sent.tag
        for sent in history.sent
        if not sent.key and not sent.idempotent
    }
    ran = (run.tag for run in history.runs)
    for tag, times in _find_repeated(non_idempotent, ran):
        yield f'request {tag} ran {times} times'


@register_rule('not_run')
def check_refused_requests_did_not_run(history: History) -> Iterator[str]:
    """No sent request that was answered ``not_run`` has run."""
    by_id = {run.request_id: run for run in history.runs}
    for answer in history.answered:
        run = by_id.get(answer.request_id)
        if answer.outcome == 'not_run' and run is not None:
            yield f'{answer.request_id} ({answer.kind}) ran at {run.target}'


@register_rule('not_run_tag')
def check_always_refused_did_not_run(history: History) -> Iterator[str]:
    """No request has run when each of its attempts was answered ``not_run``."""
    outcomes: dict[str, set[str]] = collections.defaultdict(set)
    answers = {answer.number: answer for answer in history.answered}
    for sent in history.sent:
        answer = answers.get(sent.number)
        outcomes[sent.tag].add(answer.outcome if answer else 'none')
    ran = {run.tag for run in history.runs}
    for tag, tag_outcomes in outcomes.items():
        if tag_outcomes == {'not_run'} and tag in ran:
            yield f'request {tag} was always refused and ran'


@register_rule('whole')
def check_answers_are_whole(history: History) -> Iterator[str]:
    """Every answer has the requested size and confirms the whole body."""
    for sent, answer, content in _pair_answers(history):
        if content is None:
            yield f'{answer.request_id}: the answer can not be read'
            continue
        wanted = max(sent.answer_bytes, content.text_size)
        if content.size != wanted or content.received != sent.body_bytes:
            yield f'{answer.request_id}: {content} instead of {wanted} bytes'


@register_rule('own')
def check_answers_are_own(history: History) -> Iterator[str]:
    """Every answer belongs to its request or to a run with the same key."""
    keys = {run.request_id: run.key for run in history.runs}
    for sent, answer, content in _pair_answers(history):
        if content is None:
            continue
        repeated = sent.key and keys.get(content.request_id) == sent.key
        own = content.request_id == answer.request_id or repeated
        if content.tag != sent.tag or not own:
            yield f'{sent.tag} ({answer.request_id}) got {content}'


@register_rule('ran')
def check_answers_come_from_runs(history: History) -> Iterator[str]:
    """Every answer of a target belongs to a run that a target reports."""
    ran = {run.request_id for run in history.runs}
    for _, answer, content in _pair_answers(history):
        if content is not None and content.request_id not in ran:
            yield f'{answer.request_id}: no target ran it'


@register_rule('uncut')
def check_no_request_is_cut(history: History) -> Iterator[str]:
    """A request is cut only by the kill or freeze of its daemon."""
    sent_by_number = {sent.number: sent for sent in history.sent}
    for disconnect in history.disconnects:
        sent = sent_by_number[disconnect.number]
        excused = any(
            injected.victim == sent.entry
            and injected.kind in _DISCONNECTING_FAULTS
            and injected.at <= disconnect.at
            and injected.until >= sent.at
            for injected in history.injected_faults
        )
        if not excused:
            wait = disconnect.at - sent.at
            yield f'{sent.tag} at {sent.entry} after {wait:.2f} s: {disconnect}'


@register_rule('unrefused')
def check_shutdown_refuses_nothing(history: History) -> Iterator[str]:
    """A daemon that shuts down serves requests while it may receive them.

    The balancer may send requests within the grace after SIGTERM, and as long
    as a probe that began after SIGTERM found the daemon ready.
    """
    sent_by_number = {sent.number: sent for sent in history.sent}
    ends = [
        injected
        for injected in history.injected_faults
        if injected.kind == 'replace'
    ]
    for answer in history.answered:
        if answer.kind != 'not_ready':
            continue
        sent = sent_by_number[answer.number]
        for injected in ends:
            if injected.victim == sent.entry and _must_be_served(
                sent, injected
            ):
                yield f'{sent} was refused during {injected}'


@register_rule('answered')
def check_each_request_ends_once(history: History) -> Iterator[str]:
    """Each sent request ends once, with one answer or one disconnect."""
    ends = collections.Counter(
        ended.number for ended in (*history.answered, *history.disconnects)
    )
    for sent in history.sent:
        if ends[sent.number] != 1:
            yield f'{sent.tag} ended {ends[sent.number]} times'


def _must_be_served(sent: SentRequest, injected: InjectedFault) -> bool:
    if not injected.at <= sent.at <= injected.until:
        return False
    within_grace = sent.at < injected.at + GRACE_SECONDS
    return within_grace or sent.probed_at > injected.at


def _pair_answers(
    history: History,
) -> Iterator[tuple[SentRequest, ReceivedAnswer, AnswerContent | None]]:
    """Yield each successful answer of a target with its request."""
    sent_by_number = {sent.number: sent for sent in history.sent}
    for answer in history.answered:
        if not answer.outcome and answer.status == _OK_STATUS:
            yield sent_by_number[answer.number], answer, answer.content


def _find_repeated(
    names: set[str],
    ran: Iterable[str],
) -> Iterator[tuple[str, int]]:
    """Return each of the names that ran more than once, and how often."""
    counts = collections.Counter(ran)
    for name in sorted(names):
        if counts[name] > 1:
            yield name, counts[name]
