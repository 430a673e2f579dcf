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
data=$(mktemp -d)
key=demo-key
key_digest=$(printf %s "$key" | sha256sum | cut -d ' ' -f 1)
operator_key=demo-operator-key
operator_digest=$(printf %s "$operator_key" | sha256sum | cut -d ' ' -f 1)
pids=
roster=

ports=$("$bin/peargap-load" ports 40)
take_port() {
    port=$(printf '%s\n' "$ports" | head -n 1)
    ports=$(printf '%s\n' "$ports" | tail -n +2)
}

# start ROLE NAME COMMAND...
start() {
    role=$1
    name=$2
    shift 2
    "$@" > "$data/$name.out" 2> "$data/$name.log" &
    pids="$pids $!"
    roster="$roster
pid $role $name $!"
}

# Stops every process in the reverse of the order of their start; fails when one does not exit 0.
stop_all() {
    bad=0
    reversed=
    for pid in $pids; do reversed="$pid $reversed"; done
    for pid in $reversed; do kill -TERM "$pid" 2> /dev/null || true; done
    for pid in $reversed; do
        wait "$pid" || { bad=1; echo "demo: process $pid did not stop cleanly" >&2; }
    done
    pids=
    return $bad
}

fail() {
    echo "demo: $1" >&2
    for log in "$data"/*.log; do
        echo "== $(basename "$log")" >&2
        tail -n 15 "$log" >&2
    done
    stop_all || true
    rm -rf "$data"
    exit 1
}

# Control hosts.
control_addresses=
operator_addresses=
peers=
ready=
for n in 1 2 3; do
    take_port; eval "internal$n=127.0.0.1:$port"
    take_port; eval "operators$n=127.0.0.1:$port"
    take_port; eval "health$n=127.0.0.1:$port"
    eval "address=\$internal$n"
    eval "operators=\$operators$n"
    eval "health=\$health$n"
    control_addresses="$control_addresses${control_addresses:+,}$address"
    operator_addresses="$operator_addresses${operator_addresses:+,}$operators"
    ready="$ready http://$health/readyz"
    peers="$peers
[peer control-$n]
address = $address
"
done
for n in 1 2 3; do
    eval "address=\$internal$n"
    eval "operators=\$operators$n"
    eval "health=\$health$n"
    cat > "$data/control-$n.ini" << END
[node]
name = control-$n
domain = zone-$(( (n + 1) % 2 + 1 ))

[listen]
internal = $address
operators = $operators
health = $health

[data]
folder = $data/control-$n

[bootstrap]
voters = control-1,control-2,control-3

[operators]
key_sha256 = $operator_digest
$peers
END
    start control "control-$n" "$bin/peargap-control" --config "$data/control-$n.ini"
done

# Engines and services, each with its agent.
start_agent() {
    upstream=$1
    kind=$2
    offers=$3
    domain=$4
    address=$5
    take_port; internal=$port
    take_port; health=$port
    cat > "$data/agent-$upstream.ini" << END
[node]
name = agent-$upstream
domain = $domain

[listen]
internal = 127.0.0.1:$internal
health = 127.0.0.1:$health

[control]
addresses = $control_addresses

[upstream]
name = $upstream
kind = $kind
address = $address
offers = $offers
memory_tokens = 32768
max_running = 64
checks_fences = true
END
    ready="$ready http://127.0.0.1:$health/readyz"
    start agent "agent-$upstream" "$bin/peargap-agent" --config "$data/agent-$upstream.ini"
}
for n in 1 2 3 4; do
    take_port; address=127.0.0.1:$port
    start engine "engine-$n" "$bin/peargap-fake" engine --listen "$address" --name "engine-$n" \
        --models transcript --checks-fences --seed "$n"
    ready="$ready http://$address/healthz"
    start_agent "engine-$n" engine transcript "zone-$(( n % 2 + 1 ))" "$address"
done
for n in 1 2; do
    take_port; address=127.0.0.1:$port
    start service "desk-$n" "$bin/peargap-fake" service --listen "$address" --name "desk-$n"
    ready="$ready http://$address/healthz"
    start_agent "desk-$n" service loans "zone-$n" "$address"
done

# Entries.
entries=
for n in 1 2; do
    take_port; callers=127.0.0.1:$port
    take_port; health=127.0.0.1:$port
    cat > "$data/entry-$n.ini" << END
[node]
name = entry-$n
domain = zone-$n

[listen]
callers = $callers
health = $health

[control]
addresses = $control_addresses
END
    entries="$entries${entries:+,}http://$callers"
    ready="$ready http://$health/readyz"
    start entry "entry-$n" "$bin/peargap-entry" --config "$data/entry-$n.ini"
done

# The manifest, applied as a pipeline would.
cat > "$data/manifest.ini" << END
[deployment]
name = demo

[domain zone-1]
region = local

[domain zone-2]
region = local

[model transcript]
max_output_tokens = 4000
max_prompt_tokens = 16000
priority = 1
replicas = 4

[service loans]
repeatable = false
priority = 1

[team demo]
key_sha256 = $key_digest
weight = 1
priority = 1
END
printf %s "$operator_key" > "$data/operator.key"
"$bin/peargap" manifest check "$data/manifest.ini" >&2 || fail "the manifest is wrong"
"$bin/peargap" --control "$operator_addresses" --key-file "$data/operator.key" \
    manifest apply "$data/manifest.ini" --wait 10 >&2 || fail "the manifest was not accepted"
# shellcheck disable=SC2086
"$bin/peargap-load" ready $ready || fail "not every process became ready"

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
