#!/bin/sh
# Installs the declared packages when they are missing, older than the lock file, or were installed
# on another kind of machine.
set -eu
stamp=node_modules/.installed
machine=$(node -p '[process.platform, process.arch, process.version].join(" ")')
if [ "$(cat "$stamp" 2>/dev/null)" != "$machine" ] || [ package-lock.json -nt "$stamp" ]; then
  npm ci --no-audit --no-fund
  echo "$machine" > "$stamp"
fi
