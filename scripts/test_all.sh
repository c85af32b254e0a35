#!/usr/bin/env bash
# Installs, checks the format, lints, builds and runs the tests of CI.
# The unit tests read the sources, so they and the checks run during the build.
set -euo pipefail
cd "$(dirname "$0")/.."

logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

declare -A steps=()
names=()

# Runs a command in the background; its output is printed by `finish`.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  steps[$name]=$!
  names+=("$name")
}

# Waits for all commands, prints their output, and exits if any of them failed.
finish() {
  local failed=()
  for name in "${names[@]}"; do
    wait "${steps[$name]}" || failed+=("$name")
    echo "--- $name"
    cat "$logs/$name"
  done
  names=()
  [ ${#failed[@]} -eq 0 ] || {
    echo "failed: ${failed[*]}"
    exit 1
  }
}

build_and_check() {
  npm run build && npm run check:tests && npm run unused
}

npm ci --no-audit --no-fund
if [ -s KNOWN-RED.txt ]; then
  echo '--- KNOWN-RED.txt'
  cat KNOWN-RED.txt
fi
start build build_and_check
start lint npm run lint
start format npm run format:check
start unit npm run test:unit
finish
npm run test:integration
