#!/usr/bin/env bash
# Installs, builds and runs the demo on embedded stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund
npm run build
exec node packages/demo/dist/main.js
