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
    load_options='--pairs 50 --streams 16 --tokens 100'
    ;;
relay)
    engine_options='--step-us 2000 --stream-us 1 --max-batch 64'
    load_options='--pairs 1 --streams 48 --tokens 600'
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
    # Usage: cpu_ticks PID. Prints the CPU time of the process in clock ticks, hundredths of a second.
    cpu_ticks() {
        sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
    }
    seconds=20
    sleep 5
    ticks_before=
    for pid in $pids; do ticks_before="$ticks_before $pid:$(cpu_ticks "$pid")"; done
    sleep "$seconds"
    echo "role name percent_of_a_core resident_kB"
    for item in $ticks_before; do
        pid=${item%%:*}
        used=$(($(cpu_ticks "$pid") - ${item##*:}))
        name=$(printf '%s\n' "$roster" | awk -v pid="$pid" '$4 == pid { print $2, $3 }')
        kilobytes=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")
        echo "$name $(awk -v used="$used" -v seconds="$seconds" 'BEGIN { print used / seconds }') $kilobytes"
    done
    stop_all
    rm -rf "$data"
    exit 0
fi
agent_pid=$(printf '%s\n' "$roster" | awk '$3 == "agent-engine-1" { print $4 }')
entry_pid=$(printf '%s\n' "$roster" | awk '$3 == "entry-1" { print $4 }')
engine_address=$(sed -n 's/^address = //p' "$data/agent-engine-1.ini")
# shellcheck disable=SC2086
"$bin/peargap-load" compare --direct "http://$engine_address" --entry "${entries%%,*}" --key "$key" \
    --model transcript --agent-pid "$agent_pid" --entry-pid "$entry_pid" $load_options \
    || fail "the measurement failed"
stop_all
rm -rf "$data"
