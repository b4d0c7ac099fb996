#!/bin/sh
# Builds the stand-ins: they are Python programs, so this only checks and compiles them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
