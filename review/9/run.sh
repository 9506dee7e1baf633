#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 broken, 0 held, 2 no run.
cd "$(dirname "$0")" || exit 2
export CASE_FOLDER="$PWD" PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/../../target/deps:$PWD/.."
python3 -c 'import stage' || exit 2
exec python3 case.py
