"""The keys of the store in which daemons record who leads."""

import dataclasses
from typing import Any, final

from result import Err, Ok

from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import (
    ExpectedRevision,
    Transaction,
    Write,
)
from verbenapost.scheduler.keys import (
    LAST_LEADER_KEY,
    LEADER_KEY,
    TERM_KEY,
)
from verbenapost.scheduler.leadership import (
    Leadership,
    Term,
    unpack_leadership,
    unpack_term,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoredTerm:
    """The last term and the revision of its key.

    :param term: the term.
    :param revision: revision of the key, 0 when it does not exist.
    """

    term: Term
    revision: int


class LeaderKeys:
    """Reads and writes the keys of the leadership.

    :param store: the store.
    :param log: logger.
    """

    def __init__(self, store: PlatformStore, log: Any) -> None:
        self._store = store
        self._log = log

    async def read_term(self) -> StoredTerm | None:
        """Return the last term, ``None`` when no safe token can be known."""
        found = await self._store.read_key(TERM_KEY)
        if isinstance(found, Err):
            return None
        last = found.ok_value
        if last is None:
            return StoredTerm(Term(0), 0)
        try:
            return StoredTerm(unpack_term(last.value), last.revision)
        except ValueError as fault:
            self._log.error('term not decodable', fault=str(fault))
            return None

    async def read_last_leader(self, token: int) -> Leadership | None:
        """Return the last leader, or ``None`` if it is not known.

        A daemon of an older version leads without writing this key.

        :param token: token of the last term.
        """
        found = await self._store.read_key(LAST_LEADER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        last = self.decode_leader(found.ok_value.value)
        return last if last is not None and last.token == token else None

    async def commit_claim(
        self,
        claim: Leadership,
        lease: int,
        expected: tuple[ExpectedRevision, ...],
    ) -> int | None:
        """Commit a claim and return its revision, or ``None`` if it lost.

        After a failed commit the key is read back, since the commit may have
        been applied. An earlier claim of this process may have been applied
        late; its lease is another one, which nobody renews.

        :param claim: the claim.
        :param lease: lease of the leader key.
        :param expected: revisions of the keys that the claim replaces.
        """
        answer = await self._store.commit(
            Transaction(
                expected=expected,
                writes=(
                    Write(TERM_KEY, Term(claim.token).pack()),
                    Write(LEADER_KEY, claim.pack(), lease),
                    Write(LAST_LEADER_KEY, claim.pack()),
                ),
            )
        )
        if isinstance(answer, Ok):
            return answer.ok_value
        found = await self._store.read_key(LEADER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        item = found.ok_value
        own = (item.value, item.lease) == (claim.pack(), lease)
        return item.revision if own else None

    async def record_resignation(self, own: Leadership, revision: int) -> None:
        """Tell the successor that no order of this leader is in flight.

        :param own: the leadership that is given up.
        :param revision: revision at which the leader key was written.
        """
        recorded = await self._store.commit(
            Transaction(
                (ExpectedRevision(LEADER_KEY, revision),),
                (Write(TERM_KEY, Term(own.token, resigned=True).pack()),),
            )
        )
        if isinstance(recorded, Err):
            self._log.warning(
                'resignation not recorded', fault=recorded.err_value
            )

    def decode_leader(self, packed: bytes) -> Leadership | None:
        """Return a leadership, ``None`` when it can't be decoded.

        :param packed: value of the leader key or of the last leader's.
        """
        try:
            return unpack_leadership(packed)
        except ValueError as fault:
            self._log.warning('leadership not decodable', fault=str(fault))
            return None
