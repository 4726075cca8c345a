#!/bin/bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec node "$(dirname "$0")/run.mjs"
