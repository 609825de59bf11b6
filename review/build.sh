#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules without packages: there is nothing to build, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
