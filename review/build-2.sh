#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins are Python and need no more than a check
# that they compile. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10
