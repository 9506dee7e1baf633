"""The member set that a daemon knows, and what it may change in it."""

from collections.abc import Collection, Mapping
from typing import final

from verbenapost.coordination.ages import NEVER
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.quorum import SetWrite, holds_both, list_taken
from verbenapost.coordination.transition import Changeover, choose_target
from verbenapost.state.members import Intent, MemberRecord, MemberSet

#: Times the view timeout that a change waits for the last members.
SILENCE_FACTOR = 2

Alive = Mapping[str, MemberRecord]


@final
class MemberRegister:
    """The newest known member set and its change.

    :param me: record of the own process.
    :param timing: times of membership.
    :param contacts: moments of contact with the others.
    """

    def __init__(
        self,
        me: MemberRecord,
        timing: Timing,
        contacts: Contacts,
    ) -> None:
        self.revision = 0
        self.member_set = MemberSet({})
        self.changeover: Changeover | None = None
        self._me = me
        self._timing = timing
        self._contacts = contacts
        self._gone: frozenset[str] = frozenset()
        self._since = NEVER

    def adopt(self, revision: int, member_set: MemberSet, now: float) -> bool:
        """Adopt a set of a higher revision, from the store or a peer."""
        if revision <= self.revision:
            return False
        if self.revision == 0:
            self._since = now
        self.revision = revision
        self.member_set = member_set
        self.changeover = None
        if member_set.intent is not None:
            self.changeover = Changeover(member_set, now)
            self.changeover.confirm(self._me)
        return True

    def adopt_gone(self, names: Collection[str]) -> None:
        """Note the members whose VM the platform's list no longer shows."""
        self._gone = frozenset(names)

    def list_touched(self, now: float) -> set[str]:
        """Return the members that are surely in touch, with the own one."""
        earliest = now - self._timing.view_timeout
        known = {*self.member_set.members, *self._list_joining()}
        reach = self._contacts.reach
        touched = {name for name in known if reach.find(name) > earliest}
        return touched | {self._me.name}

    def holds_majority(self, now: float) -> bool:
        """Tell whether a majority of the members is in touch."""
        silent = self._list_silent_gone(now)
        return holds_both(self.member_set, silent, self.list_touched(now))

    def plan(self, now: float, alive: Alive) -> SetWrite | None:
        """Return the write that begins or makes a change, if any is due.

        The caller has just reached the store; a write whose expected revision
        is no longer the current one is refused there.

        :param alive: records of the life keys; ``since`` is the revision.
        """
        if not self.member_set.members:
            return self._found(alive)
        target = self._choose(now, alive)
        if self.changeover is None:
            return self._begin(target)
        intent = self.member_set.intent
        if intent is not None and not self.list_blockers(now, alive):
            return SetWrite(self.revision, MemberSet(intent.target))
        patient = now - self.changeover.seen_at < self._timing.patience
        if patient or intent is None or intent.target == target:
            return None
        return self._begin(target) or SetWrite(
            self.revision,
            MemberSet(self.member_set.members),
        )

    def plan_forget(self, name: str) -> SetWrite | None:
        """Return the write by which an operator drops a member for good.

        The operator vouches that its process is dead.
        """
        if name not in self.member_set.members:
            return None
        members = dict(self.member_set.members)
        members.pop(name)
        return SetWrite(self.revision, MemberSet(members))

    def list_blockers(self, now: float, alive: Alive) -> tuple[str, ...]:
        """Return the members that the change under way waits for."""
        if self.changeover is None:
            return ()
        excluded = self._list_silent_gone(now) | list_taken(
            self.member_set.members,
            alive,
        )
        return self.changeover.list_blockers(
            now,
            SILENCE_FACTOR * self._timing.view_timeout,
            excluded,
        )

    def _found(self, alive: Alive) -> SetWrite | None:
        if not alive:
            return None
        return SetWrite(self.revision, MemberSet(dict(alive)))

    def _begin(self, target: dict[str, MemberRecord]) -> SetWrite | None:
        if target == self.member_set.members:
            return None
        intent = Intent(target, self._me.name)
        members = self.member_set.members
        return SetWrite(self.revision, MemberSet(members, intent))

    def _choose(self, now: float, alive: Alive) -> dict[str, MemberRecord]:
        lost = self._list_silent_gone(now) | {
            name
            for name in self.member_set.members
            if now - self._find_latest(name) > self._timing.removal_delay
        }
        return choose_target(self.member_set, alive, lost - {self._me.name})

    def _list_silent_gone(self, now: float) -> frozenset[str]:
        silence = SILENCE_FACTOR * self._timing.view_timeout
        return frozenset(
            name
            for name in self._gone
            if now - self._find_latest(name) > silence
        )

    def _find_latest(self, name: str) -> float:
        return max(self._contacts.reach.find(name), self._since)

    def _list_joining(self) -> Collection[str]:
        intent = self.member_set.intent
        return () if intent is None else intent.target
