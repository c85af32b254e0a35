#!/usr/bin/env bash
# Installs, checks the format, lints, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund
npm run format:check
npm run lint
npm run build
npm run check:tests
npm run unused
if [ -s KNOWN-RED.txt ]; then
  echo '--- KNOWN-RED.txt'
  cat KNOWN-RED.txt
fi
npm test
