#!/bin/sh
# Runs a load against a small deployment while injecting faults, and prints the load tool's report.
#
#   sh tools/faults.sh domain    a failure domain is taken out and brought back
#   sh tools/faults.sh kills     an engine, an agent and an entry are killed in turn with SIGKILL
#   sh tools/faults.sh stops     a control host, an agent and an entry are stopped and restarted in turn
#   sh tools/faults.sh none      no faults, for comparison
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --quiet --release --workspace --locked >&2
bin=${CARGO_TARGET_DIR:-$root/target}/release
engines=4
services=2
engine_options='--median-tokens 120'
. "$root/tools/fleet.sh"
start_fleet >&2

operate() {
    "$bin/peargap" --control "$operator_addresses" --key-file "$data/operator.key" "$@" >&2
}
find_pid() {
    printf '%s\n' "$roster" | awk -v name="$1" '$3 == name { print $4 }'
}
"$bin/peargap-load" run --entries "$entries" --key "$key" --model transcript --service loans \
    --rate 20 --seconds 40 --max-tokens 1000 > "$data/report.json" 2> "$data/load.txt" &
load_pid=$!
sleep 8
case "${1:-none}" in
domain)
    operate domain out zone-1 --wait 7
    sleep 12
    operate domain back zone-1 --wait 7
    ;;
kills)
    kill -KILL "$(find_pid engine-1)"
    sleep 8
    kill -KILL "$(find_pid agent-engine-2)"
    sleep 8
    kill -KILL "$(find_pid entry-2)"
    ;;
stops)
    for name in control-1 agent-engine-1 entry-1; do
        role=${name%%-*}
        pid=$(find_pid "$name")
        kill -TERM "$pid"
        wait "$pid" || echo "faults: $name did not exit cleanly" >&2
        start "$role" "$name" "$bin/peargap-$role" --config "$data/$name.ini"
        sleep 4
    done
    ;;
none) ;;
*)
    echo "faults: unknown scenario $1; expected domain, kills, stops or none" >&2
    kill -TERM "$load_pid"
    ;;
esac
wait "$load_pid" || true
cat "$data/report.json"
stop_all 2> /dev/null || true
rm -rf "$data"
