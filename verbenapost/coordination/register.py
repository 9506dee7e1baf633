"""The member set known to a daemon, and the changes it may write."""

from collections.abc import Collection, Mapping
from typing import final

from verbenapost.coordination.contactages import NEVER
from verbenapost.coordination.contacts import Contacts, Timing
from verbenapost.coordination.quorum import (
    SetWrite,
    holds_both_majorities,
    list_superseded,
)
from verbenapost.coordination.transition import SetTransition, choose_target
from verbenapost.state.members import Intent, MemberRecord, MemberSet

#: Multiple of the view timeout that a change waits once a majority has
#: confirmed, and after which a silent member without a VM is not counted.
SILENCE_FACTOR = 2

AliveRecords = Mapping[str, MemberRecord]


@final
class MemberRegister:
    """Holds the newest known member set and its pending change.

    :param own_record: record of this process.
    :param timing: membership timeouts and intervals.
    :param contacts: times of contact with the other members.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        timing: Timing,
        contacts: Contacts,
    ) -> None:
        self.revision = 0
        self.member_set = MemberSet({})
        self.transition: SetTransition | None = None
        self._own_record = own_record
        self._timing = timing
        self._contacts = contacts
        self._deleted: frozenset[str] = frozenset()
        self._first_adopted_at = NEVER

    def adopt(self, revision: int, member_set: MemberSet, now: float) -> bool:
        """Adopt a member set from the store or a peer if it is newer.

        :returns: whether the set was adopted.
        """
        if revision <= self.revision:
            return False
        if self.revision == 0:
            self._first_adopted_at = now
        self.revision = revision
        self.member_set = member_set
        self.transition = None
        if member_set.intent is not None:
            self.transition = SetTransition(member_set, now)
            self.transition.confirm(self._own_record)
        return True

    def set_deleted(self, names: Collection[str]) -> None:
        """Set the members whose VM is missing from the platform's list."""
        self._deleted = frozenset(names)

    def list_reachable(self, now: float) -> set[str]:
        """Return the members with proven recent contact, including this one.

        Members that are joining are included.
        """
        earliest = now - self._timing.view_timeout
        known = {*self.member_set.members, *self._list_joining()}
        last_contact = self._contacts.last_contact
        reachable = {
            name for name in known if last_contact.get_latest(name) > earliest
        }
        return reachable | {self._own_record.name}

    def holds_majority(self, now: float) -> bool:
        """Return whether a majority of the members is reachable."""
        silent_deleted = self._list_silent_deleted(now)
        return holds_both_majorities(
            self.member_set, silent_deleted, self.list_reachable(now)
        )

    def plan(self, now: float, alive: AliveRecords) -> SetWrite | None:
        """Return the write that announces or commits a change, if one is due.

        The caller must just have reached the store. The store refuses a write
        whose expected revision is no longer current.

        :param now: monotonic time in seconds.
        :param alive: records of the liveness keys; ``since`` is the key's
            revision.
        """
        if not self.member_set.members:
            return self._create_first_set(alive)
        target = self._choose_members(now, alive)
        if self.transition is None:
            return self._announce(target)
        intent = self.member_set.intent
        if intent is not None and not self.list_blockers(now, alive):
            return SetWrite(self.revision, MemberSet(intent.target))
        is_waiting = (
            now - self.transition.adopted_at < self._timing.intent_timeout
        )
        if is_waiting or intent is None or intent.target == target:
            return None
        return self._announce(target) or SetWrite(
            self.revision,
            MemberSet(self.member_set.members),
        )

    def plan_forget(self, name: str) -> SetWrite | None:
        """Return the write by which an operator removes a member.

        The member is removed without confirmations: the operator guarantees
        that its process is dead.

        :returns: the write, or ``None`` if there is no such member.
        """
        if name not in self.member_set.members:
            return None
        members = dict(self.member_set.members)
        members.pop(name)
        return SetWrite(self.revision, MemberSet(members))

    def list_blockers(self, now: float, alive: AliveRecords) -> tuple[str, ...]:
        """Return the members that the pending change waits for."""
        if self.transition is None:
            return ()
        excluded = self._list_silent_deleted(now) | list_superseded(
            self.member_set.members,
            alive,
        )
        return self.transition.list_blockers(
            now,
            SILENCE_FACTOR * self._timing.view_timeout,
            excluded,
        )

    def _create_first_set(self, alive: AliveRecords) -> SetWrite | None:
        if not alive:
            return None
        return SetWrite(self.revision, MemberSet(dict(alive)))

    def _announce(self, target: dict[str, MemberRecord]) -> SetWrite | None:
        if target == self.member_set.members:
            return None
        intent = Intent(target, self._own_record.name)
        members = self.member_set.members
        return SetWrite(self.revision, MemberSet(members, intent))

    def _choose_members(
        self, now: float, alive: AliveRecords
    ) -> dict[str, MemberRecord]:
        lost = self._list_silent_deleted(now) | {
            name
            for name in self.member_set.members
            if now - self._find_last_contact(name) > self._timing.removal_delay
        }
        return choose_target(
            self.member_set, alive, lost - {self._own_record.name}
        )

    def _list_silent_deleted(self, now: float) -> frozenset[str]:
        limit = SILENCE_FACTOR * self._timing.view_timeout
        return frozenset(
            name
            for name in self._deleted
            if now - self._find_last_contact(name) > limit
        )

    def _find_last_contact(self, name: str) -> float:
        return max(
            self._contacts.last_contact.get_latest(name), self._first_adopted_at
        )

    def _list_joining(self) -> Collection[str]:
        intent = self.member_set.intent
        return () if intent is None else intent.target
