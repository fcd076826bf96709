#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout 118 python3 -B case.py
