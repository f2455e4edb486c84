#!/bin/sh
# The stand-ins are plain Python of the standard library (review/common and
# each case.py), so there is nothing to compile: this checks that they load.
# The daemons come from the build of deploy/system.toml (target/deps).
set -e
cd "$(dirname "$0")"
for file in common/world.py */case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
test -d ../target/deps || {
    echo "target/deps is missing: run the build of deploy/system.toml first"
    exit 1
}
PYTHONPATH=../target/deps python3 -c "import gevent, msgspec, click"
echo "review/build.sh: nothing else to build"
