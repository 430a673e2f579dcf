# Functions that start and stop a small deployment on loopback; sourced by the scripts in this folder.
#
# Inputs: bin (folder of the programs), engines and services (how many to start of each), and
# engine_options (extra arguments of each engine).
# Set by start_fleet: data, key, entries, control_addresses, operator_addresses, roster and pids.

data=$(mktemp -d)
key=demo-key
key_digest=$(printf %s "$key" | sha256sum | cut -d ' ' -f 1)
operator_key=demo-operator-key
operator_digest=$(printf %s "$operator_key" | sha256sum | cut -d ' ' -f 1)
printf %s demo-deployment-key > "$data/deployment.key"
deployment_section="[deployment]
key_file = $data/deployment.key"
pids=
roster=

# Takes the next free port from `ports` into `port`.
take_port() {
    port=$(printf '%s\n' "$ports" | head -n 1)
    ports=$(printf '%s\n' "$ports" | tail -n +2)
}

# Usage: start ROLE NAME COMMAND...
#
# Runs COMMAND in the background and appends `pid ROLE NAME PID` to `roster`.
start() {
    role=$1
    name=$2
    shift 2
    "$@" > "$data/$name.log" 2>&1 &
    pids="$pids $!"
    roster="$roster
pid $role $name $!"
}

# Sends SIGTERM to every process, last started first; fails unless all of them exit with status 0.
stop_all() {
    failed=0
    reversed=
    for pid in $pids; do reversed="$pid $reversed"; done
    for pid in $reversed; do kill -TERM "$pid" 2> /dev/null || true; done
    for pid in $reversed; do
        wait "$pid" || { failed=1; echo "fleet: process $pid did not exit cleanly" >&2; }
    done
    pids=
    return $failed
}

# Prints MESSAGE and the tail of every log, stops the deployment and exits 1.
fail() {
    echo "fleet: $1" >&2
    for log in "$data"/*.log; do
        echo "== $(basename "$log")" >&2
        tail -n 15 "$log" >&2
    done
    stop_all || true
    rm -rf "$data"
    exit 1
}

start_controls() {
    control_addresses=
    operator_addresses=
    peer_sections=
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
        peer_sections="$peer_sections
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
$peer_sections
$deployment_section
END
        start control "control-$n" "$bin/peargap-control" --config "$data/control-$n.ini"
    done
}

# Usage: start_agent UPSTREAM KIND OFFERS DOMAIN ADDRESS
start_agent() {
    upstream=$1
    kind=$2
    offers=$3
    domain=$4
    address=$5
    take_port; internal_port=$port
    take_port; health_port=$port
    cat > "$data/agent-$upstream.ini" << END
[node]
name = agent-$upstream
domain = $domain

[listen]
internal = 127.0.0.1:$internal_port
health = 127.0.0.1:$health_port

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

$deployment_section
END
    ready="$ready http://127.0.0.1:$health_port/readyz"
    start agent "agent-$upstream" "$bin/peargap-agent" --config "$data/agent-$upstream.ini"
}
start_upstreams() {
    for n in $(seq "$engines"); do
        take_port; address=127.0.0.1:$port
        # shellcheck disable=SC2086
        start engine "engine-$n" "$bin/peargap-fake" engine --listen "$address" --name "engine-$n" \
            --models transcript --checks-fences --seed "$n" $engine_options
        ready="$ready http://$address/healthz"
        start_agent "engine-$n" engine transcript "zone-$(( n % 2 + 1 ))" "$address"
    done
    for n in $(seq "$services"); do
        take_port; address=127.0.0.1:$port
        start service "desk-$n" "$bin/peargap-fake" service --listen "$address" --name "desk-$n"
        ready="$ready http://$address/healthz"
        start_agent "desk-$n" service loans "zone-$n" "$address"
    done
}

start_entries() {
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

$deployment_section
END
        entries="$entries${entries:+,}http://$callers"
        ready="$ready http://$health/readyz"
        start entry "entry-$n" "$bin/peargap-entry" --config "$data/entry-$n.ini"
    done
}

# Checks and applies the manifest with the command line tool, as a deployment pipeline does.
apply_manifest() {
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
replicas = $engines

[service loans]
repeatable = false
priority = 1

[team demo]
key_sha256 = $key_digest
weight = 1
priority = 1
END
    printf %s "$operator_key" > "$data/operator.key"
    "$bin/peargap" manifest check "$data/manifest.ini" >&2 || fail "the manifest check failed"
    "$bin/peargap" --control "$operator_addresses" --key-file "$data/operator.key" \
        manifest apply "$data/manifest.ini" --wait 10 >&2 || fail "the manifest could not be applied"
}

start_fleet() {
    ports=$("$bin/peargap-load" ports 60)
    ready=
    start_controls
    start_upstreams
    start_entries
    apply_manifest
    # shellcheck disable=SC2086
    "$bin/peargap-load" ready $ready || fail "a process did not become ready"
}
