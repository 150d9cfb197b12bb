#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cassia-serve ] && [ -x target/release/cassia-review ] || exit 2
timeout 115 target/release/cassia-review stalled review/5
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
