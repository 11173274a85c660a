#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. They are plain JavaScript
# modules of this folder without dependencies, so that a check of their syntax is all there is to do.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.js; do
  node --check "$file"
done
for number in 6 7 8 9 10; do
  if [ -f "$number/run.js" ]; then
    node --check "$number/run.js"
  fi
done
