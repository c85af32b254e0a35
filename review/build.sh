#!/usr/bin/env bash
# The stand-ins are plain JavaScript: nothing has to be built, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.test.mjs; do
  node --check "$file"
done
