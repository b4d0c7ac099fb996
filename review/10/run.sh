#!/bin/sh
# Runs the case; see claim.txt. It writes what was sent, answered and run to record.txt in this folder.
# TROUBLE=0 runs it without the disruption. Exit code: 0 the rule held, 1 it was broken, 2 it could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
exec ../../.venv/bin/python case.py record.txt
