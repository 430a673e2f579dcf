#!/bin/sh
# Plays case 9 and writes record.txt beside this script. With TROUBLE=0 the disruption is left out.
# Build first: the build of the deploy file, then review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$folder/record.txt"
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$folder/../.." || exit 2
for program in target/release/peargap-control target/release/peargap-gateway target/review-2/case; do
    if [ ! -x "$program" ]; then
        echo "could not run: $program is not built" | tee "$record"
        exit 2
    fi
done
exec target/review-2/case moved-twice "$record"
