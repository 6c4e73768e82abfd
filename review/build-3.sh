#!/usr/bin/env bash
# Builds what the scripts of the third review start. The stand-ins are Python scripts that use the
# standard library only, so there is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/release/agateyoke-platform || {
    echo "build the deploy file first: cargo build --release --locked -p agateyoke-platform" >&2
    exit 2
}
for file in review/standins-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
