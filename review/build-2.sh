#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python and need
# the libraries of the deploy file's build only; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. \
    python3 -c "import sys; sys.path.insert(0, 'review/stand2'); import world"
