#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start, behind the build of the deploy file: the project's stand-ins.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
npm run --silent build
