#!/usr/bin/env bash
# Runs one scenario with real processes on loopback and prints its metrics as
# one JSON object on the last line.
#
#   scripts/measure.sh --list
#   scripts/measure.sh SCENARIO [SEED]
#
# AGATEYOKE_BIN sets the directory of the programs (default: target/release, whose
# programs are built first). AGATEYOKE_KEEP=1 keeps the records.
set -euo pipefail
cd "$(dirname "$0")/.."

scenarios=(server-kill server-freeze entry-kill control-kill zone-cut drain scale-up hot-key
    overload silent-connections throughput)
case "${1:-}" in
    --list) printf '%s\n' "${scenarios[@]}"; exit 0 ;;
    "") echo "usage: scripts/measure.sh --list | SCENARIO [SEED]" >&2; exit 2 ;;
esac
scenario=$1
seed=${2:-1}
if ! printf '%s\n' "${scenarios[@]}" | grep -qxF -e "$scenario"; then
    echo "unknown scenario: $scenario (see scripts/measure.sh --list)" >&2
    exit 2
fi
case "$seed" in
    "" | *[!0-9]*) echo "the seed is not a whole number: $seed" >&2; exit 2 ;;
esac
[ -n "${AGATEYOKE_BIN:-}" ] || cargo build --locked --release --bins --examples >&2

# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap cluster_stop EXIT
trap 'exit 1' INT TERM

key_count=300
document=examples/documents/kiosk-core.json
event_ms=0 settled_ms=0 server_count=0 added_count=0 affected_servers=""

caller_addresses() { # entry numbers...
    local addresses=() e
    for e in "$@"; do addresses+=("$subnet.2$e:7201"); done
    (IFS=,; echo "${addresses[*]}")
}

start_controls() {
    cluster_start_control 1 galway; cluster_start_control 2 cork; cluster_start_control 3 dublin
}

start_backends() { # count entries options...
    local n count=$1; shift
    for n in $(seq "$count"); do cluster_start_backend "$n" galway "$@"; done
    server_count=$count
}

# Applies the document and waits until every key is served through each of the entry VMs.
wait_until_served() { # entries...
    local e i
    cluster_apply_document "$document"
    for e in "$@"; do
        for i in $(seq 100); do
            "$bin/examples/load" --service kiosk-core --target "$(caller_addresses "$e")" --in-turn \
                --read-path '/lockers/{key}' --keys "$key_count" --count "$key_count" --seconds 2 \
                --connections 8 >"$run_dir/ready.out"
            grep -qF "\"answers\":{\"200 done\":$key_count}" "$run_dir/ready.out" && continue 2
            sleep 0.1
        done
        echo "not every key is served: $(cat "$run_dir/ready.out")" >&2
        return 1
    done
}

# Reads every key five times a second, one key after the other, and sends claims on keys with a Zipf distribution.
start_traffic() { # seconds entries...
    local seconds=$1 addresses; shift
    addresses=$(caller_addresses "$@")
    cluster_start_load probe --target "$addresses" --keys "$key_count" --in-turn \
        --rate $((key_count * 5)) --connections 300 --seconds "$seconds" --seed "$seed" \
        --trace "$run_dir/probe.trace"
    cluster_start_load claims --target "$addresses" --keys "$key_count" --zipf 0.9 --rate 200 \
        --claims 50 --resends 3 --connections 150 --seconds "$seconds" --seed $((seed + 1000)) \
        --trace "$run_dir/claims.trace"
}

wait_for_traffic() { cluster_wait probe; cluster_wait claims; }

status() { "$bin/agateyoke" --control "$control_addresses" status; }

print_metrics() {
    "$bin/examples/measure" --scenario "$scenario" --seed "$seed" --folder "$run_dir" \
        --event-ms "$event_ms" --settled-ms "$settled_ms" --servers "$server_count" \
        --added "$added_count" ${affected_servers:+--victims "$affected_servers"}
}

# Starts three control VMs, and entry VMs 1 to 3 and backend servers in one zone.
start_one_zone() { # server-count
    start_controls
    for e in 1 2 3; do cluster_start_entry "$e" galway; done
    start_backends "$1" "1 2 3"
    wait_until_served 1 2 3
}

server_kill() {
    start_one_zone 6
    start_traffic 14 1 2 3
    sleep 6
    event_ms=$(unix_time_ms) affected_servers=server-1
    cluster_signal server-1 KILL
    wait_for_traffic
}

server_freeze() {
    start_one_zone 6
    start_traffic 14 1 2 3
    sleep 5
    event_ms=$(unix_time_ms) affected_servers=server-1
    cluster_signal server-1 STOP
    sleep 3
    cluster_signal server-1 CONT
    wait_for_traffic
}

# Kills the primary; callers use the other two entry VMs, as a load balancer would have them do.
entry_kill() {
    local primary others=()
    start_one_zone 6
    primary=$(status | grep -A1 '^zone ' | awk 'NR==2 {print $2}')
    for e in 1 2 3; do [ "entry-$e" = "$primary" ] || others+=("$e"); done
    start_traffic 12 "${others[@]}"
    sleep 5
    event_ms=$(unix_time_ms)
    cluster_signal "$primary" KILL
    wait_for_traffic
}

control_kill() {
    local leader
    start_one_zone 6
    leader=$(status | awk '$3 == "leader" {print $1}')
    start_traffic 12 1 2 3
    sleep 5
    event_ms=$(unix_time_ms)
    cluster_signal "$leader" KILL
    wait_for_traffic
}

# Suspends all processes of zone cork for 12 s; callers are in zone galway.
zone_cut() {
    local name
    start_controls
    for e in 1 2; do cluster_start_entry "$e" galway; done
    for e in 3 4; do cluster_start_entry "$e" cork; done
    for n in 1 2 3; do cluster_start_backend "$n" galway "1 2"; done
    for n in 4 5 6; do cluster_start_backend "$n" cork "3 4"; done
    server_count=6
    wait_until_served 1 2
    start_traffic 24 1 2
    sleep 5
    event_ms=$(unix_time_ms) affected_servers=server-4,server-5,server-6
    for name in control-2 entry-3 entry-4 server-4 server-5 server-6; do
        cluster_signal "$name" STOP
    done
    sleep 12
    for name in control-2 entry-3 entry-4 server-4 server-5 server-6; do
        cluster_signal "$name" CONT
    done
    wait_for_traffic
}

drain() {
    start_one_zone 6
    start_traffic 14 1 2 3
    sleep 6
    event_ms=$(unix_time_ms) affected_servers=server-1
    cluster_signal server-1 TERM
    wait_for_traffic
    if cluster_exit_status server-1; then
        echo "server-1 exited with status 0"
    else
        echo "server-1 exited with an error"
    fi
}

scale_up() {
    start_one_zone 5
    cluster_start_load zipf --target "$(caller_addresses 1 2 3)" --keys "$key_count" --zipf 0.9 \
        --rate 1500 --claims 5 --resends 3 --connections 300 --seconds 45 --seed "$seed" \
        --trace "$run_dir/zipf.trace"
    sleep 12
    event_ms=$(unix_time_ms) added_count=1
    cluster_start_backend 6 galway "1 2 3"
    sleep 25
    settled_ms=$(unix_time_ms)
    cluster_wait zipf
}

hot_key() {
    start_one_zone 6
    cluster_start_load zipf --target "$(caller_addresses 1 2 3)" --keys "$key_count" --zipf 0.9 \
        --rate 1500 --claims 5 --resends 3 --connections 300 --seconds 40 --seed "$seed" \
        --trace "$run_dir/zipf.trace"
    sleep 30
    settled_ms=$(unix_time_ms)
    cluster_wait zipf
}

# Four servers with 6 slots and 40 ms per request can serve 600 requests a second; callers send 1200.
overload() {
    start_controls
    for e in 1 2; do cluster_start_entry "$e" galway; done
    start_backends 4 "1 2" --work-ms 40
    wait_until_served 1 2
    sleep 8
    cluster_start_load mix --target "$(caller_addresses 1 2)" --keys "$key_count" --rate 1200 \
        --claims 20 --connections 900 --seconds 15 --seed "$seed" --trace "$run_dir/mix.trace"
    cluster_wait mix
}

silent_connections() {
    start_one_zone 6
    start_traffic 14 1 2 3
    sleep 6
    event_ms=$(unix_time_ms)
    cluster_set_faults 1 '{"silent":true}'
    wait_for_traffic
}

json_number() { # file key
    grep -o "\"$2\":[0-9.]*" "$run_dir/$1" | head -n 1 | cut -d: -f2
}

# One entry VM with four backend servers, compared with direct requests to one such server.
throughput() {
    local kind
    start_controls
    cluster_start_entry 1 galway
    record_requests=false
    start_backends 4 1 --slots 256
    wait_until_served 1
    cluster_start_process direct "$bin/examples/backend" --name direct --service direct --zone galway \
        --listen "$subnet.99:7300" --entry "$subnet.98:9" --checks false --slots 256
    sleep 9
    for kind in direct routed; do
        local address=$subnet.99:7300
        [ $kind = direct ] || address=$(caller_addresses 1)
        cluster_start_load "$kind-paced" --target "$address" --keys "$key_count" --rate 5000 \
            --connections 64 --seconds 6 --seed "$seed"
        cluster_wait "$kind-paced"
        cluster_start_load "$kind-full" --target "$address" --keys "$key_count" --connections 64 \
            --seconds 6 --seed "$seed"
        cluster_wait "$kind-full"
    done
    cat "$run_dir"/routed-*.out "$run_dir"/direct-*.out
    printf '{"scenario":"throughput","seed":%s,"requests":%s,"paced_rps":%.0f,"direct_paced_rps":%.0f,' \
        "$seed" "$(json_number routed-paced.out requests)" "$(json_number routed-paced.out per_second)" \
        "$(json_number direct-paced.out per_second)"
    printf '"p50_us":%s,"p99_us":%s,"direct_p50_us":%s,"direct_p99_us":%s,' \
        "$(json_number routed-paced.out p50)" "$(json_number routed-paced.out p99)" \
        "$(json_number direct-paced.out p50)" "$(json_number direct-paced.out p99)"
    printf '"rps":%.0f,"direct_rps":%.0f,"full_p99_us":%s,"direct_full_p99_us":%s}\n' \
        "$(json_number routed-full.out per_second)" "$(json_number direct-full.out per_second)" \
        "$(json_number routed-full.out p99)" "$(json_number direct-full.out p99)"
}

"${scenario//-/_}"
[ "$scenario" = throughput ] || print_metrics
