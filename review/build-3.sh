#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start. They are Python programs of the standard library:
# what can be checked beforehand is that they compile. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/release/endivespurd
