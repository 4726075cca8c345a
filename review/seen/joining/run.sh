#!/bin/bash
# Runs what the report names under "Seen, and no case"; exits with 1 if QUOTA was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
exec node "$(dirname "$0")/run.mjs"
