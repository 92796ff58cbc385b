#!/bin/sh
# The router fleet's build: its libraries in target/deps, made whole in a folder beside it and then renamed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
stamp="target/deps/.made-from-$(sha256sum deploy/system-requirements.txt | cut -c1-16)"
[ -f "$stamp" ] && exit 0
rm -rf target/deps target/deps-new
python3 -m pip install -q --disable-pip-version-check --target target/deps-new -r deploy/system-requirements.txt
python3 -m compileall -q target/deps-new
mv target/deps-new target/deps
: > "$stamp"
