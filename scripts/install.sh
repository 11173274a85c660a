#!/bin/sh
# Installs the declared packages when they are missing or older than the lock file.
set -eu
stamp=node_modules/.installed
if [ ! -f "$stamp" ] || [ package-lock.json -nt "$stamp" ]; then
  npm ci --no-audit --no-fund
  touch "$stamp"
fi
