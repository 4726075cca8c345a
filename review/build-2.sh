#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are plain JavaScript, so this only checks that Node.js can read them.
set -e
cd "$(dirname "$0")"
for file in support/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
