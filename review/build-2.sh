#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10: they are written in Python and need nothing but python3.
# The scripts start no stand-in of the project's own.
set -euo pipefail
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins-2/*.py
for case in [0-9]*/case.py; do
    case "${case%%/*}" in
        6 | 7 | 8 | 9 | 10) PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile "$case" ;;
    esac
done
test -x ../target/release/agateyoke-platform
