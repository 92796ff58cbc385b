#!/bin/sh
# The platform's build: a .venv that holds every requirement of the gateway, whole or remade, and compiled code.
# Two builds at once take turns on a lock, so that one never finds the other's half-made .venv and takes it for
# made; a .venv that a cut-off build left behind is remade if its pip does not run, and completed by pip if it does.
set -eu
cd "$(dirname "$0")/.."
exec 9>>.venv.lock
flock 9
if ! .venv/bin/python -m pip --version >/dev/null 2>&1; then
    rm -rf .venv
    python3 -m venv .venv
fi
.venv/bin/python -m pip -q install --disable-pip-version-check -r requirements.txt
.venv/bin/python -m compileall -q mallowbeam
