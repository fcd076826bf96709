#!/usr/bin/env bash
# Runs the case from the root of the repository. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
exec python3 review/5/case.py
