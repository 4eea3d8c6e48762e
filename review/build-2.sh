#!/bin/sh
# The stand-ins of the second review are plain JavaScript: nothing is compiled. Checks that the runtime of the deploy file
# can read them.
cd "$(dirname "$0")/.." || exit 1
for file in review/harness-2.mjs review/6/run.mjs review/7/run.mjs review/8/run.mjs review/9/run.mjs review/10/run.mjs; do
  [ ! -f "$file" ] || target/node --check "$file" || exit 1
done
