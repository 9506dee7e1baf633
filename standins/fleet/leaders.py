"""The leaders of a history, by fencing token."""

from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.leadership import unpack_leadership


class LeaderRecord:
    """Daemon of each fencing token, read from the changes of the store.

    :ivar by_token: name of the daemon by token.
    """

    def __init__(self):
        self.by_token = {}

    def observe(self, change):
        """Read a change of a key."""
        if change.key != LEADER_KEY or change.value is None:
            return
        try:
            leader = unpack_leadership(change.value)
        except ValueError:
            # Another writer may leave a value there that daemons ignore.
            return
        self.by_token[leader.token] = leader.daemon
