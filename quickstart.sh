#!/usr/bin/env bash
# Starts the Association's deployment as processes on loopback, publishes its contract, sends calls of
# several ranks, kills one node, sends more, shows convergence time, control bytes and answers, and
# stops everything. Exits 0 only if every call was served right. Uses ports from PORT_BASE on.
set -euo pipefail
cd "$(dirname "$0")"

port_base=${PORT_BASE:-17000}
bin=target/debug
work=$(mktemp -d)
declare -A pids=()

stop_all() {
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

start() { # name command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

fail() {
    echo "quickstart: $*" >&2
    tail -n 5 "$work"/node-*.log >&2 || true
    exit 1
}

echo "== build"
cargo build -q --workspace --bins

echo "== start the log, 12 backend servers and 12 nodes in 3 availability zones"
log=127.0.0.1:$port_base
start log "$bin/hitch-standin-log" --listen "$log"
zones=(nl-west-a nl-west-b nl-west-c)
callers=() ledgers=()
number=0
seeds="127.0.0.1:$((port_base + 12)), 127.0.0.1:$((port_base + 22))"
for spec in registry:5 workshop:4 ledger:3; do
    for _ in $(seq "${spec#*:}"); do
        number=$((number + 1))
        base=$((port_base + number * 10))
        backend=127.0.0.1:$((base + 4))
        start "backend-$number" "$bin/hitch-standin-backend" --listen "$backend" --instance "i-$number"
        cat >"$work/node-$number.yaml" <<YAML
instance: i-$number
region: nl-west
zone: ${zones[$((number % 3))]}
caller: 127.0.0.1:$((base + 1))
peer: 127.0.0.1:$((base + 2))
admin: 127.0.0.1:$((base + 3))
log: http://$log
peers: [$seeds]
backend: { service: ${spec%:*}, customer: association, address: $backend }
YAML
        start "node-$number" "$bin/hitch-node" --settings "$work/node-$number.yaml"
        callers+=("127.0.0.1:$((base + 1))")
        ledgers+=("$backend")
    done
done
hitch() { "$bin/hitch" --log "http://$log" --node "127.0.0.1:$((port_base + 13))" "$@"; }

wait_for() { # count pattern: until status shows so many nodes like that
    for _ in $(seq 100); do
        if [ "$(hitch status 2>/dev/null | grep -c -- "$2" || true)" -eq "$1" ]; then
            return
        fi
        sleep 0.2
    done
    hitch status || true
    fail "waited too long for $1 nodes that are $2"
}

echo "== publish examples/association.yaml"
wait_for 12 "  starting "
hitch publish examples/association.yaml --operator quickstart --wait 20 || fail "the contract is not in force"
wait_for 12 "  ready "
hitch status

plan() { # duration_ms targets...
    local duration=$1
    shift
    local targets ledger_list
    targets=$(IFS=,; echo "$*")
    ledger_list=$(IFS=,; echo "${ledgers[*]}")
    cat <<YAML
targets: [$targets]
ledgers: [$ledger_list]
duration_ms: $duration
seed: 1
streams:
  - { name: fees, customer: association, rank: fee, method: POST, path: /fees, rate: 40, body_bytes: 64, deadline_ms: 1500, keyed: true, resends: 1 }
  - { name: commissions, customer: association, rank: commission, method: POST, path: /commissions, rate: 40, body_bytes: 64, deadline_ms: 1500, keyed: true }
  - { name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, rate: 80, body_bytes: 0, deadline_ms: 500 }
  - { name: enquiries, customer: association, rank: enquiry, method: GET, path: /instruments/7, rate: 200, body_bytes: 0, deadline_ms: 1500 }
YAML
}

all_served() { # file idempotent-only: checks the table of the load tool
    awk -v only="$2" '
        $1 ~ /^(fees|commissions|lookups|enquiries)$/ {
            seen++
            if (only && ($1 == "fees" || $1 == "commissions")) next
            if ($3 != $4 || $8 != 0 || $9 != 0) bad = 1
        }
        /^ledgers:/ {
            ledgers++
            if ($0 !~ / 0 run twice, 0 false not-run, 0 answered but not run/) bad = 1
        }
        END { exit !(seen == 4 && ledgers == 1 && !bad) }' "$1"
}

echo "== calls of four ranks through four nodes"
plan 4000 "${callers[0]}" "${callers[3]}" "${callers[7]}" "${callers[11]}" >"$work/load-1.yaml"
"$bin/hitch-load" run --plan "$work/load-1.yaml" | tee "$work/load-1.txt"
all_served "$work/load-1.txt" "" || fail "not every call was answered"

echo "== kill the node of i-2 and send calls through the others"
kill -KILL "${pids[node-2]}"
wait "${pids[node-2]}" 2>/dev/null || true
unset "pids[node-2]"
plan 3000 "${callers[0]}" "${callers[3]}" "${callers[7]}" "${callers[11]}" >"$work/load-2.yaml"
"$bin/hitch-load" run --plan "$work/load-2.yaml" | tee "$work/load-2.txt"
all_served "$work/load-2.txt" 1 || fail "an idempotent call failed after the kill"

echo "== agreement and control traffic"
hitch status
for number in 1 6 12; do
    admin=$((port_base + number * 10 + 3))
    exec 3<>"/dev/tcp/127.0.0.1/$admin"
    printf 'GET /status HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n' >&3
    status=$(cat <&3)
    exec 3>&-
    echo "i-$number: $(grep -o '"control_bytes":[0-9]*' <<<"$status") $(grep -o '"log_reads":[0-9]*' <<<"$status")"
done
hitch history
echo "== stop"
for name in "${!pids[@]}"; do
    case $name in node-*) kill -TERM "${pids[$name]}" ;; esac
done
for name in "${!pids[@]}"; do
    case $name in node-*)
        wait "${pids[$name]}" || fail "$name did not stop cleanly"
        unset "pids[$name]"
        ;;
    esac
done
echo "quickstart: all calls were served"
