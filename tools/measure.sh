#!/bin/sh
# Measures what entry and agent add against the stand-in engine asked directly.
#
#   sh tools/measure.sh added    time to first token and between tokens, one stream at a time
#   sh tools/measure.sh relay    tokens relayed for a second of processor time, a fast engine
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --quiet --release --workspace --locked >&2
bin=${CARGO_TARGET_DIR:-$root/target}/release
engines=1
services=1
case "${1:-added}" in
added)
    engine_options='--step-us 5000'
    load='--pairs 200 --streams 16 --tokens 100'
    ;;
relay)
    engine_options='--step-us 2000 --stream-us 1 --max-batch 64'
    load='--pairs 1 --streams 48 --tokens 600'
    ;;
*)
    echo "measure: say added or relay" >&2
    exit 2
    ;;
esac
. "$root/tools/fleet.sh"
start_fleet
agent=$(printf '%s\n' "$roster" | awk '$3 == "agent-engine-1" { print $4 }')
entry=$(printf '%s\n' "$roster" | awk '$3 == "entry-1" { print $4 }')
direct=$(sed -n 's/^address = //p' "$data/agent-engine-1.ini")
# shellcheck disable=SC2086
"$bin/peargap-load" compare --direct "http://$direct" --entry "${entries%%,*}" --key "$key" \
    --model transcript --agent-pid "$agent" --entry-pid "$entry" $load || fail "the measurement failed"
stop_all
rm -rf "$data"
