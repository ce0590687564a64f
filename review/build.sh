#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python (3.11, standard library only), so this only checks that
# they compile; the daemon is built by the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - stand/*.py [0-9]*/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
