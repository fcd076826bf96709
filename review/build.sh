#!/usr/bin/env bash
# Builds the stand-ins of the scripts: modules of Python, of its standard library only. Needs no network.
# The programs under test are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in review/lib/standins.py review/[0-9]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
echo "the stand-ins are ready"
