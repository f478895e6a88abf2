#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/pier ] && [ -x target/review-standin ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec target/review-standin held "$PWD" "$here/record.txt"
