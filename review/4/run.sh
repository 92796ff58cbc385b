#!/bin/sh
# Exit 1: ORDER was broken; 0: it held; 2: the case could not run.  TROUBLE=0 leaves the freeze out.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 play.py
