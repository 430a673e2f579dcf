#!/bin/sh
# Builds peargap, starts a small deployment on loopback and runs the demo requests against it.
#
#   sh tools/demo.sh          exits 0 only if every response is correct and every process exits cleanly
#   sh tools/demo.sh --keep   keeps it running until SIGINT or SIGTERM and prints its addresses, keys
#                             and process ids
#
# 3 control hosts, 2 entries, 4 engines and 2 plain services with their agents, 2 failure domains.
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
keep=no
[ "${1:-}" = --keep ] && keep=yes

cargo build --quiet --workspace --locked >&2
bin=${CARGO_TARGET_DIR:-$root/target}/debug
engines=4
services=2
engine_options=
. "$root/tools/fleet.sh"
start_fleet

if [ "$keep" = yes ]; then
    trap 'stop_all; rm -rf "$data"; exit 0' INT TERM
    printf '%s\n' "$entries" | tr , '\n' | sed 's/^/entry /'
    echo "key $key"
    echo "model transcript"
    echo "service loans"
    printf '%s\n' "$control_addresses" | tr , '\n' | sed 's/^/control /'
    printf '%s\n' "$roster" | sed '/^$/d'
    echo ready
    while :; do
        sleep 1 &
        wait $! || true
    done
fi

"$bin/peargap-load" walk --entries "$entries" --key "$key" --model transcript --service loans \
    --text README.md || fail "the demo requests failed"
stop_all || fail "a process did not exit cleanly"
rm -rf "$data"
echo "demo: passed"
