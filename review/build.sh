#!/bin/sh
# Builds what the scripts start beside the routers. The stand-ins are plain JavaScript without dependencies
# that the runtime of the deploy file's build runs, so they only have to be checked.
set -e
cd "$(dirname "$0")/.."
for file in review/harness.mjs review/[1-5]/*.mjs; do
  target/node --check "$file"
done
echo "the stand-ins are ready"
