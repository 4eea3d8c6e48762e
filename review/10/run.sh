#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/node review/10/run.mjs
