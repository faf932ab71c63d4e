#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start. They are Python of the standard library
# (standins_2.py) and the project's own testbed modules that need nothing beyond requirements.txt; both run in .venv, which
# the deploy file's build makes. There is nothing to fetch: the files are compiled, and their imports tried.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/[6-9]/case.py review/10/case.py onyxpass/testbed
.venv/bin/python -c "import onyxpass.testbed.replicas, onyxpass.testbed.site; import sys; sys.path.insert(0, 'review'); import standins_2"
