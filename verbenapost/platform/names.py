"""Keys, paths, headers and variables as the platform names them."""

from typing import Final

CONFIGURATION_KEY: Final = 'op/config'
OPERATOR_PREFIX: Final = 'op/'
WAVE_PREFIX: Final = 'op/wave/'
WAVE_STATUS_PREFIX: Final = 'status/wave/'
WORKER_PREFIX: Final = 'servers/'

KEY_PATH: Final = '/-/kv-key'
RANGE_PATH: Final = '/-/kv-range'
WATCH_PATH: Final = '/-/kv-watch'
TRANSACTION_PATH: Final = '/-/kv-txn'
LEASE_PATH: Final = '/-/kv-lease'
RENEW_PATH: Final = '/-/kv-keep'
REVOKE_PATH: Final = '/-/kv-lease-end'

START_PATH: Final = '/-/run-start'
STOP_PATH: Final = '/-/run-stop'
HOLD_PATH: Final = '/-/hold'
PACE_PATH: Final = '/-/pace'
ADVISE_PATH: Final = '/-/advise'
VMS_PATH: Final = '/-/machines'
MOVE_PATH: Final = '/-/machine-move'
MAINTAIN_PATH: Final = '/-/machine-upkeep'
READY_PATH: Final = '/-/ready'

EXPECT_INSTANCE_HEADER: Final = 'X-Verbenapost-Expect-Instance'
HOLDER_HEADER: Final = 'X-Verbenapost-Duty-Holder'
TOKEN_HEADER: Final = 'X-Verbenapost-Fencing-Token'  # noqa: S105
CALLER_TIMEOUT_HEADER: Final = 'x-verbenapost-deadline-ms'
AUTHORIZATION_HEADER: Final = 'authorization'
AUTHORIZATION_SCHEME: Final = 'Token'
CHALLENGE_HEADER: Final = 'www-authenticate'

SETTINGS_VARIABLE: Final = 'VERBENAPOST_BOOT'
