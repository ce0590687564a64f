#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start. They are Python programs without dependencies, so that
# this only checks that they can be read; the gateways are built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")"
for file in stand-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  if [ -f "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
  fi
done
