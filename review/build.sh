#!/bin/sh
# Builds what the scripts start beside the relays. The stand-ins under review/ are plain JavaScript for the node of the deploy file, so there
# is nothing to compile; this checks that they can be parsed. The relays are built by the command `build` of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/*/case.mjs; do
	node --check "$file" || exit 1
done
[ -f target/waydrift.cjs ] || { echo 'target/waydrift.cjs is missing: run the build of deploy/system.toml first'; exit 1; }
