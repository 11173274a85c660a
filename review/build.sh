#!/bin/sh
# The stand-ins of these cases are plain modules without dependencies; nothing has to be compiled.
set -e
cd "$(dirname "$0")"
for file in common/*.js */run.js; do
  node --check "$file"
done
