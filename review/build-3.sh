#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the daemons. That is
# Python without a build step: checked here is that it loads.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c 'import site3'
