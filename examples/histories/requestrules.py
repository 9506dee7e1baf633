"""Rules about requests, their runs and their answers."""

import collections
from collections.abc import Iterator

from examples.histories.records import Answered, Content, History, Sent, Strike
from examples.histories.registry import register_rule

#: Faults that take a daemon's connections with them.
_HARD = frozenset(('kill', 'freeze'))

#: Seconds that a local daemon's settings give the balancer at shutdown.
GRACE_SECONDS = 1.0

#: Status of an answer in which nothing is wrong.
_FINE = 200


@register_rule('once')
def check_keys_run_once(history: History) -> Iterator[str]:
    """No key of a non-idempotent request ran twice."""
    guarded = {
        sent.key for sent in history.sent if sent.key and not sent.idempotent
    }
    counts = collections.Counter(run.key for run in history.runs)
    for key in sorted(guarded):
        if counts[key] > 1:
            yield f'key {key} ran {counts[key]} times'


@register_rule('unkeyed_once')
def check_unkeyed_run_once(history: History) -> Iterator[str]:
    """No non-idempotent request ran twice, also without a key."""
    guarded = {
        sent.tag
        for sent in history.sent
        if not sent.key and not sent.idempotent
    }
    counts = collections.Counter(run.tag for run in history.runs)
    for tag in sorted(guarded):
        if counts[tag] > 1:
            yield f'request {tag} ran {counts[tag]} times'


@register_rule('not_run')
def check_refusals_are_true(history: History) -> Iterator[str]:
    """No request that was answered "not run" has run."""
    by_id = {run.request_id: run for run in history.runs}
    for answer in history.answered:
        run = by_id.get(answer.request_id)
        if answer.outcome == 'not_run' and run is not None:
            yield f'{answer.request_id} ({answer.kind}) ran at {run.target}'


@register_rule('not_run_tag')
def check_refused_everywhere(history: History) -> Iterator[str]:
    """No request whose every sending was answered "not run" has run."""
    outcomes: dict[str, set[str]] = collections.defaultdict(set)
    answers = {answer.number: answer for answer in history.answered}
    for sent in history.sent:
        answer = answers.get(sent.number)
        outcomes[sent.tag].add(answer.outcome if answer else 'none')
    ran = {run.tag for run in history.runs}
    for tag, seen in outcomes.items():
        if seen == {'not_run'} and tag in ran:
            yield f'request {tag} was always refused and ran'


@register_rule('whole')
def check_answers_are_whole(history: History) -> Iterator[str]:
    """Every answer of a target has the length that was asked for."""
    for sent, answer, content in _pair(history):
        if content is None:
            yield f'{answer.request_id}: the answer can not be read'
            continue
        wanted = max(sent.answer_bytes, content.text_size)
        if content.size != wanted or content.received != sent.body_bytes:
            yield f'{answer.request_id}: {content} instead of {wanted} bytes'


@register_rule('own')
def check_answers_are_own(history: History) -> Iterator[str]:
    """Every answer belongs to its request, or to a run of its key."""
    keys = {run.request_id: run.key for run in history.runs}
    for sent, answer, content in _pair(history):
        if content is None:
            continue
        repeated = sent.key and keys.get(content.request_id) == sent.key
        own = content.request_id == answer.request_id or repeated
        if content.tag != sent.tag or not own:
            yield f'{sent.tag} ({answer.request_id}) got {content}'


@register_rule('ran')
def check_answers_come_from_runs(history: History) -> Iterator[str]:
    """Every answer of a target stands for a run that the target reports."""
    ran = {run.request_id for run in history.runs}
    for _, answer, content in _pair(history):
        if content is not None and content.request_id not in ran:
            yield f'{answer.request_id}: no target ran it'


@register_rule('uncut')
def check_no_request_is_cut(history: History) -> Iterator[str]:
    """Only the kill or freeze of its daemon may cut a request."""
    sent_by_number = {sent.number: sent for sent in history.sent}
    for cut in history.cuts:
        sent = sent_by_number[cut.number]
        excused = any(
            strike.victim == sent.entry
            and strike.kind in _HARD
            and strike.at <= cut.at
            and strike.until >= sent.at
            for strike in history.strikes
        )
        if not excused:
            waited = cut.at - sent.at
            yield f'{sent.tag} at {sent.entry} after {waited:.2f} s: {cut}'


@register_rule('unrefused')
def check_shutdown_refuses_nothing(history: History) -> Iterator[str]:
    """A daemon that ends takes what comes while the balancer may send it.

    That is: within its grace, and for as long as its probe says ready.
    """
    sent_by_number = {sent.number: sent for sent in history.sent}
    ends = [strike for strike in history.strikes if strike.kind == 'replace']
    for answer in history.answered:
        if answer.kind != 'not_ready':
            continue
        sent = sent_by_number[answer.number]
        for strike in ends:
            if strike.victim == sent.entry and _is_owed(sent, strike):
                yield f'{sent} was refused during {strike}'


@register_rule('answered')
def check_each_ends(history: History) -> Iterator[str]:
    """Each sending ends once: with one answer or with one cut."""
    ends = collections.Counter(
        ended.number for ended in (*history.answered, *history.cuts)
    )
    for sent in history.sent:
        if ends[sent.number] != 1:
            yield f'{sent.tag} ended {ends[sent.number]} times'


def _is_owed(sent: Sent, strike: Strike) -> bool:
    if not strike.at <= sent.at <= strike.until:
        return False
    early = sent.at < strike.at + GRACE_SECONDS
    return early or sent.probed_at > strike.at


def _pair(
    history: History,
) -> Iterator[tuple[Sent, Answered, Content | None]]:
    """Return what came from targets, with the request it answers."""
    sent_by_number = {sent.number: sent for sent in history.sent}
    for answer in history.answered:
        if not answer.outcome and answer.status == _FINE:
            yield sent_by_number[answer.number], answer, answer.content
