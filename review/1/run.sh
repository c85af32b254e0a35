#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/1/case.test.mjs
