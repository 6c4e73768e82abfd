#!/usr/bin/env bash
# Runs one scenario with real processes on loopback and prints its figures as
# one JSON object on the last line.
#
#   scripts/measure.sh --list
#   scripts/measure.sh SCENARIO [SEED]
#
# AGATEYOKE_BIN names another folder of programs (default target/release, which
# is built first), AGATEYOKE_KEEP=1 leaves the records in place.
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
    "" | *[!0-9]*) echo "the seed is not a number: $seed" >&2; exit 2 ;;
esac
[ -n "${AGATEYOKE_BIN:-}" ] || cargo build --locked --release --bins --examples >&2

# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap fleet_stop EXIT
trap 'exit 1' INT TERM

keys=300
document=examples/documents/kiosk-core.json
event=0 settled=0 servers=0 added=0 victims=""

targets() { # entry numbers...
    local list=() e
    for e in "$@"; do list+=("$net.2$e:7201"); done
    (IFS=,; echo "${list[*]}")
}

controls() { fleet_control 1 galway; fleet_control 2 cork; fleet_control 3 dublin; }

backends() { # count entries options...
    local n count=$1; shift
    for n in $(seq "$count"); do fleet_backend "$n" galway "$@"; done
    servers=$count
}

# Waits until each key is served through each entry VM that is named.
ready() {
    local e i
    fleet_apply "$document"
    for e in "$@"; do
        for i in $(seq 100); do
            "$bin/examples/load" --service kiosk-core --target "$(targets "$e")" --in-turn \
                --read-path '/lockers/{key}' --keys "$keys" --count "$keys" --seconds 2 \
                --connections 8 >"$run/ready.out"
            grep -qF "\"answers\":{\"200 done\":$keys}" "$run/ready.out" && continue 2
            sleep 0.1
        done
        echo "not every key is served: $(cat "$run/ready.out")" >&2
        return 1
    done
}

# Each key in turn, five times a second, and claims on keys by Zipf.
traffic() { # seconds entries...
    local seconds=$1 to; shift
    to=$(targets "$@")
    fleet_load probe --target "$to" --keys "$keys" --in-turn --rate $((keys * 5)) \
        --connections 300 --seconds "$seconds" --seed "$seed" --trace "$run/probe.trace"
    fleet_load claims --target "$to" --keys "$keys" --zipf 0.9 --rate 200 --claims 50 --resends 3 \
        --connections 150 --seconds "$seconds" --seed $((seed + 1000)) --trace "$run/claims.trace"
}

traffic_end() { fleet_wait probe; fleet_wait claims; }

status() { "$bin/agateyoke" --control "$control" status; }

figures() {
    "$bin/examples/measure" --scenario "$scenario" --seed "$seed" --folder "$run" \
        --event-ms "$event" --settled-ms "$settled" --servers "$servers" --added "$added" \
        ${victims:+--victims "$victims"}
}

# Three control VMs, entry VMs 1 to 3 and some backend servers, in one zone.
plain() { # servers
    controls
    for e in 1 2 3; do fleet_entry "$e" galway; done
    backends "$1" "1 2 3"
    ready 1 2 3
}

server_kill() {
    plain 6
    traffic 14 1 2 3
    sleep 6
    event=$(wall_ms) victims=server-1
    fleet_signal server-1 KILL
    traffic_end
}

server_freeze() {
    plain 6
    traffic 14 1 2 3
    sleep 5
    event=$(wall_ms) victims=server-1
    fleet_signal server-1 STOP
    sleep 3
    fleet_signal server-1 CONT
    traffic_end
}

# The entry VM that grants; callers ask the other two, as behind a balancer.
entry_kill() {
    local carrier others=()
    plain 6
    carrier=$(status | grep -A1 '^zone ' | awk 'NR==2 {print $2}')
    for e in 1 2 3; do [ "entry-$e" = "$carrier" ] || others+=("$e"); done
    traffic 12 "${others[@]}"
    sleep 5
    event=$(wall_ms)
    fleet_signal "$carrier" KILL
    traffic_end
}

control_kill() {
    local leader
    plain 6
    leader=$(status | awk '$3 == "leader" {print $1}')
    traffic 12 1 2 3
    sleep 5
    event=$(wall_ms)
    fleet_signal "$leader" KILL
    traffic_end
}

# All of cork freezes for 12 s; callers are in galway.
zone_cut() {
    local name
    controls
    for e in 1 2; do fleet_entry "$e" galway; done
    for e in 3 4; do fleet_entry "$e" cork; done
    for n in 1 2 3; do fleet_backend "$n" galway "1 2"; done
    for n in 4 5 6; do fleet_backend "$n" cork "3 4"; done
    servers=6
    ready 1 2
    traffic 24 1 2
    sleep 5
    event=$(wall_ms) victims=server-4,server-5,server-6
    for name in control-2 entry-3 entry-4 server-4 server-5 server-6; do
        fleet_signal "$name" STOP
    done
    sleep 12
    for name in control-2 entry-3 entry-4 server-4 server-5 server-6; do
        fleet_signal "$name" CONT
    done
    traffic_end
}

drain() {
    plain 6
    traffic 14 1 2 3
    sleep 6
    event=$(wall_ms) victims=server-1
    fleet_signal server-1 TERM
    traffic_end
    if fleet_exit server-1; then echo "server-1 ended clean"; else echo "server-1 ended with an error"; fi
}

scale_up() {
    plain 5
    fleet_load zipf --target "$(targets 1 2 3)" --keys "$keys" --zipf 0.9 --rate 1500 --claims 5 \
        --resends 3 --connections 300 --seconds 45 --seed "$seed" --trace "$run/zipf.trace"
    sleep 12
    event=$(wall_ms) added=1
    fleet_backend 6 galway "1 2 3"
    sleep 25
    settled=$(wall_ms)
    fleet_wait zipf
}

hot_key() {
    plain 6
    fleet_load zipf --target "$(targets 1 2 3)" --keys "$keys" --zipf 0.9 --rate 1500 --claims 5 \
        --resends 3 --connections 300 --seconds 40 --seed "$seed" --trace "$run/zipf.trace"
    sleep 30
    settled=$(wall_ms)
    fleet_wait zipf
}

# Four servers of 6 slots and 40 ms of work serve 600 a second; 1200 are offered.
overload() {
    controls
    for e in 1 2; do fleet_entry "$e" galway; done
    backends 4 "1 2" --work-ms 40
    ready 1 2
    sleep 8
    fleet_load mix --target "$(targets 1 2)" --keys "$keys" --rate 1200 --claims 20 \
        --connections 900 --seconds 15 --seed "$seed" --trace "$run/mix.trace"
    fleet_wait mix
}

silent_connections() {
    plain 6
    traffic 14 1 2 3
    sleep 6
    event=$(wall_ms)
    fleet_misbehave 1 '{"silent":true}'
    traffic_end
}

field() { # file name
    grep -o "\"$2\":[0-9.]*" "$run/$1" | head -n 1 | cut -d: -f2
}

# One entry VM before four servers, and one such server asked directly.
throughput() {
    local kind
    controls
    fleet_entry 1 galway
    recording=false
    backends 4 1 --slots 256
    ready 1
    fleet_start direct "$bin/examples/backend" --name direct --service direct --zone galway \
        --listen "$net.99:7300" --entry "$net.98:9" --checks false --slots 256
    sleep 9
    for kind in direct routed; do
        local to=$net.99:7300
        [ $kind = direct ] || to=$(targets 1)
        fleet_load "$kind-paced" --target "$to" --keys "$keys" --rate 5000 --connections 64 \
            --seconds 6 --seed "$seed"
        fleet_wait "$kind-paced"
        fleet_load "$kind-full" --target "$to" --keys "$keys" --connections 64 --seconds 6 \
            --seed "$seed"
        fleet_wait "$kind-full"
    done
    cat "$run"/routed-*.out "$run"/direct-*.out
    printf '{"scenario":"throughput","seed":%s,"requests":%s,"paced_rps":%.0f,"direct_paced_rps":%.0f,' \
        "$seed" "$(field routed-paced.out requests)" "$(field routed-paced.out per_second)" \
        "$(field direct-paced.out per_second)"
    printf '"p50_us":%s,"p99_us":%s,"direct_p50_us":%s,"direct_p99_us":%s,' \
        "$(field routed-paced.out p50)" "$(field routed-paced.out p99)" \
        "$(field direct-paced.out p50)" "$(field direct-paced.out p99)"
    printf '"rps":%.0f,"direct_rps":%.0f,"full_p99_us":%s,"direct_full_p99_us":%s}\n' \
        "$(field routed-full.out per_second)" "$(field direct-full.out per_second)" \
        "$(field routed-full.out p99)" "$(field direct-full.out p99)"
}

"${scenario//-/_}"
[ "$scenario" = throughput ] || figures
