"""Commands of the tool; each one selects what to run.

The command-line library detects a misspelt option only after it has called
the function. Therefore the functions change nothing; the command runs once
the whole command line has been parsed.
"""

from collections.abc import Callable

from verbenapost.cli.client import AdminRequest
from verbenapost.cli.configurationcheck import CheckCommand
from verbenapost.cli.joblog import ExplainCommand
from verbenapost.cli.resourcecommands import (
    Command,
    ConfigCommands,
    JobCommands,
    ListCommands,
    MemberCommands,
    VmCommands,
    WaveCommands,
    parse_as_text,
)
from verbenapost.cli.tables import format_fields
from verbenapost.cli.tenantlog import TenantsCommand

#: A command that reads logs and sends no request.
LogCommand = ExplainCommand | TenantsCommand
AnyCommand = Command | LogCommand | CheckCommand
SelectCommand = Callable[[AnyCommand], None]


class Commands:
    """Manage the capacity and the maintenance of a fleet.

    Every command takes --daemon URL (or VERBENAPOST_DAEMON), --token TOKEN
    (or VERBENAPOST_TOKEN) and --json.
    """

    def __init__(self, select: SelectCommand) -> None:
        self._select = select
        self.config = ConfigCommands(select)
        self.vms = VmCommands(select)
        self.waves = WaveCommands(select)
        self.jobs = JobCommands(select)
        self.members = MemberCommands(select)
        self.teams = ListCommands(
            select, 'teams', ('team', 'revision', 'services')
        )
        self.pools = ListCommands(
            select,
            'pools',
            ('name', 'need', 'in_service', 'leaving', 'failed', 'spare'),
        )
        self.services = ListCommands(
            select,
            'services',
            ('name', 'team', 'pool', 'targets', 'running', 'waiting', 'owner'),
        )
        self.budgets = ListCommands(
            select,
            'budgets',
            (
                'service',
                'team',
                'min_healthy',
                'healthy',
                'max_planned',
                'planned',
                'survive',
                'stopped',
            ),
        )

    def status(self) -> None:
        """Show what the asked daemon says of itself."""
        self._select(Command(AdminRequest('status'), format_fields))

    @parse_as_text
    def explain(self, job: str, *logs: str) -> None:
        """Tell the story of a job from the logs of the daemons.

        :param logs: files with logs; standard input when there are none.
        """
        self._select(ExplainCommand(job, logs))

    @parse_as_text
    def tenants(self, *logs: str) -> None:
        """Show the newest use of each tenant from the logs of the daemons.

        :param logs: files with logs; standard input when there are none.
        """
        self._select(TenantsCommand(logs))

    @parse_as_text
    def check(self, source: str, against: str = '') -> None:
        """Validate a file with the platform's configuration; sends nothing.

        :param source: file with the configuration.
        :param against: file with the version in force, to show differences.
        """
        self._select(CheckCommand(source, against))
