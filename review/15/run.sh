#!/usr/bin/env bash
# An engine that is cut off from the store and from one machine leaves.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
case=$root/target/review-3/release/cassia-review-3
serve=$root/target/release/cassia-serve
if [ ! -x "$case" ] || [ ! -x "$serve" ]; then
    echo "build first: the build of deploy/system.toml and review/build-3.sh" >&2
    exit 2
fi
exec "$case" leaving "$serve" record.txt
