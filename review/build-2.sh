#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file. Their stand-ins are plain
# JavaScript modules that need no building: their syntax is checked, and that the programs are there.
set -e
cd "$(dirname "$0")/.."
test -f target/platform/main.js || { echo 'the build of the deploy file comes first' >&2; exit 1; }
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
