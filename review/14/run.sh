#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/peargap-gateway ] || exit 2
folder=$(mktemp -d) || exit 2
target/review-3/cases stale-connections "$here/record.txt" "$folder"
code=$?
if [ "$code" -gt 2 ]; then
    [ -f "$folder/pids" ] && xargs kill -9 <"$folder/pids" 2>/dev/null
    code=2
fi
rm -rf "$folder"
exit "$code"
