#!/usr/bin/env bash
# Builds what the scripts of the second review start: the gateway. Their stand-ins are Python programs that use the
# standard library only (Python 3.11 or later); they are checked here and need no build.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p tamaracksail-gateway
for file in review/standins-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
