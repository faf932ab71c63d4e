#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need only the standard library.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
