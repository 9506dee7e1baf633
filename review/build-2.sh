#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can be loaded after the build of
# the deploy file. They are Python and use only the packages of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import stage'
for script in review/{6,7,8,9,10}/case.py; do
    if [ -f "$script" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$script"
    fi
done
