#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec node "$(dirname "$0")/run.js"
