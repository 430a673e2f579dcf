#!/bin/sh
# Measures the overhead of entry and agent over direct requests to the stand-in engine.
#
#   sh tools/measure.sh added    added time to first token and between tokens, one stream at a time
#   sh tools/measure.sh relay    tokens relayed per second of CPU time, with a fast engine
#   sh tools/measure.sh idle     CPU time and memory of each idle process
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --quiet --release --workspace --locked >&2
bin=${CARGO_TARGET_DIR:-$root/target}/release
engines=1
services=1
set -- "${1:-added}"
case "$1" in
added)
    engine_options='--step-us 5000'
    load='--pairs 50 --streams 16 --tokens 100'
    ;;
relay)
    engine_options='--step-us 2000 --stream-us 1 --max-batch 64'
    load='--pairs 1 --streams 48 --tokens 600'
    ;;
idle)
    engine_options=
    engines=4
    services=2
    ;;
*)
    echo "measure: unknown measurement $1; expected added, relay or idle" >&2
    exit 2
    ;;
esac
. "$root/tools/fleet.sh"
start_fleet
if [ "$1" = idle ]; then
    # Usage: ticks PID. Prints the CPU time of the process in clock ticks, hundredths of a second.
    ticks() {
        sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
    }
    seconds=20
    sleep 5
    before=
    for pid in $pids; do before="$before $pid:$(ticks "$pid")"; done
    sleep "$seconds"
    echo "role name percent_of_a_core resident_kB"
    for item in $before; do
        pid=${item%%:*}
        used=$(($(ticks "$pid") - ${item##*:}))
        name=$(printf '%s\n' "$roster" | awk -v pid="$pid" '$4 == pid { print $2, $3 }')
        kilobytes=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")
        echo "$name $(awk -v used="$used" -v seconds="$seconds" 'BEGIN { print used / seconds }') $kilobytes"
    done
    stop_all
    rm -rf "$data"
    exit 0
fi
agent=$(printf '%s\n' "$roster" | awk '$3 == "agent-engine-1" { print $4 }')
entry=$(printf '%s\n' "$roster" | awk '$3 == "entry-1" { print $4 }')
direct=$(sed -n 's/^address = //p' "$data/agent-engine-1.ini")
# shellcheck disable=SC2086
"$bin/peargap-load" compare --direct "http://$direct" --entry "${entries%%,*}" --key "$key" \
    --model transcript --agent-pid "$agent" --entry-pid "$entry" $load || fail "the measurement failed"
stop_all
rm -rf "$data"
