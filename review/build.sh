#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be loaded after the build of the
# deploy file. They are Python and use only the packages of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import deployment, platformstandin, proxystandin, workerstandin'
for script in review/[1-5]/case.py; do
    if [ -f "$script" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$script"
    fi
done
