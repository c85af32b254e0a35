#!/bin/sh
# The stand-ins of review/lib-3 and the cases 12 to 15 are plain JavaScript, run
# as they are by Node.js. This checks that each of them can be read.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs 12/*.mjs 13/*.mjs 14/*.mjs 15/*.mjs; do
  node --check "$file" || exit 1
done
