#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs the
# packages that the build of the deploy file installs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install esbuild platform/src/__tests__/integration/stand_in_store.ts \
  --bundle --platform=node --format=esm --target=node20 --log-level=warning \
  --outfile=review/lib-2/dist/stand_in_store.mjs
for file in review/lib-2/*.mjs; do
  node --check "$file"
done
