#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH="$(cd .. && pwd)" exec ../../.venv/bin/python play.py
