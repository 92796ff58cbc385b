#!/bin/sh
# The stand-ins of review/4 to review/8 are Python with its standard library alone: this only checks that they
# compile.  The project's own programs come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in rig.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
