#!/bin/sh
# Builds what the cases start beside the program of the deploy file. Their stand-ins are Python of
# the standard library only, so nothing is fetched: they are compiled as a check.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review
