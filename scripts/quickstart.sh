#!/usr/bin/env bash
# Builds agateyoke, starts a small cluster on loopback and sends requests.
#
#   scripts/quickstart.sh          print the responses, then stop all processes
#   scripts/quickstart.sh --keep   keep the processes running and print commands to try
set -euo pipefail
cd "$(dirname "$0")/.."

keep_running=false
case "${1:-}" in
    "") ;;
    --keep) keep_running=true ;;
    *) echo "usage: scripts/quickstart.sh [--keep]" >&2; exit 2 ;;
esac

cargo build --locked --bins --examples
bin=$PWD/target/debug
run_dir=$PWD/run
control_addresses=127.0.0.1:7111,127.0.0.1:7112,127.0.0.1:7113
pids=()

stop_processes() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_processes EXIT

start_process() { # name command...
    local name=$1; shift
    "$@" >"$run_dir/$name.out" 2>&1 &
    pids+=($!)
    echo $! >"$run_dir/$name.pid"
}

rm -rf "$run_dir"
mkdir -p "$run_dir"
for i in 1 2 3; do
    start_process "control-$i" "$bin/agateyoke-control" "examples/settings/control-$i.json"
done
for i in 1 2 3 4; do
    start_process "entry-$i" "$bin/agateyoke-entry" "examples/settings/entry-$i.json"
done
port=7301
for zone in galway cork; do
    case $zone in
        galway) entry_addresses=127.0.0.1:7211,127.0.0.1:7212 ;;
        *) entry_addresses=127.0.0.1:7213,127.0.0.1:7214 ;;
    esac
    for n in 1 2; do
        start_process "kiosk-core-$zone-$n" "$bin/examples/backend" --name "kiosk-core-$zone-$n" \
            --service kiosk-core --zone "$zone" --listen "127.0.0.1:$port" \
            --entry "$entry_addresses" --slots 6 --record "$run_dir/kiosk-core-$zone-$n.jsonl"
        port=$((port + 1))
    done
done

agateyoke() { "$bin/agateyoke" --control "$control_addresses" "$@"; }

echo "== the document of kiosk-core"
for _ in $(seq 100); do
    if agateyoke apply examples/documents/kiosk-core.json --base 0 --change quickstart-1 --author quickstart; then
        applied=true
        break
    fi
    sleep 0.1
done
[ "${applied:-false}" = true ] || { echo "the document was not accepted; see $run_dir" >&2; exit 1; }

send_request() { # entry-port method path [claim]
    "$bin/examples/ask" --entry "127.0.0.1:$1" --service kiosk-core ${4:+--claim "$4"} "$2" "$3"
}

echo "== waiting until every key has an owner"
for _ in $(seq 100); do
    send_request 7201 GET /lockers/L-1 >/dev/null 2>&1 &&
        send_request 7203 GET /lockers/L-1 >/dev/null 2>&1 && break
    sleep 0.1
done

echo "== lookups and a locker release through entry VMs of both zones"
for entry_port in 7201 7203; do
    for key in L-1 L-2 L-3; do send_request "$entry_port" GET "/lockers/$key"; done
done
send_request 7201 POST /lockers/L-17/release quickstart-claim-1
echo "== the same release again through the other zone: it does not run twice"
send_request 7203 POST /lockers/L-17/release quickstart-claim-1
echo "== status"
agateyoke status

if $keep_running; then
    trap - EXIT
    cat <<TEXT

The processes keep running; their ids and outputs are in run/.
  callers:   127.0.0.1:7201 7202 (galway)  127.0.0.1:7203 7204 (cork)
  operators: control VMs 127.0.0.1:7111 7112 7113, entry VMs 127.0.0.1:7231 to 7234
Try:
  export AGATEYOKE_CONTROL=$control_addresses
  target/debug/examples/ask --entry 127.0.0.1:7202 --service kiosk-core GET /lockers/L-9
  kill -9 \$(cat run/kiosk-core-galway-1.pid)
  target/debug/agateyoke status
  target/debug/agateyoke timeline
To stop all processes:
  for p in run/*.pid; do kill \$(cat \$p); done
TEXT
fi
