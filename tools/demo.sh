#!/bin/sh
# Builds peargap, starts a small deployment on loopback and sends it the demo's requests.
#
#   sh tools/demo.sh          exits 0 only if every answer was right and every process stopped cleanly
#   sh tools/demo.sh --keep   leaves it running until SIGINT or SIGTERM and prints how to reach it
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
    --text README.md || fail "an answer was wrong"
stop_all || fail "not every process stopped cleanly"
rm -rf "$data"
echo "demo: all right"
