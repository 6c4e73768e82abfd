# Sourced by other scripts: starts and stops the processes of a small cluster on loopback.
#
# Each cluster has its own addresses (127.77.x.y) and its own temporary directory, so
# that several can run at the same time. Only processes started here are stopped.

bin=${AGATEYOKE_BIN:-$PWD/target/release}
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/agateyoke-fleet.XXXXXX")
subnet=127.77.$((10 + $$ % 240))
control_addresses=$subnet.11:7110,$subnet.12:7110,$subnet.13:7110
record_requests=true
declare -A pids=()

cluster_start_process() { # name command...
    local name=$1; shift
    "$@" >"$run_dir/$name.out" 2>&1 &
    pids[$name]=$!
}

cluster_signal() { # name signal
    kill "-$2" "${pids[$1]}"
    [ "$2" != KILL ] || wait "${pids[$1]}" 2>/dev/null || true
}

cluster_wait() { # name
    wait "${pids[$1]}" || true
}

cluster_exit_status() { # name
    wait "${pids[$1]}"
}

cluster_set_faults() { # number faults-as-json
    local status_line
    exec 3<>"/dev/tcp/$subnet.$((100 + $1))/7300"
    printf 'POST /_stand-in HTTP/1.1\r\nhost: stand-in\r\ncontent-length: %s\r\n\r\n%s' \
        "${#2}" "$2" >&3
    read -r status_line <&3
    exec 3>&-
    case "$status_line" in *" 200 "*) ;; *) echo "server-$1: $status_line" >&2; return 1 ;; esac
}

cluster_stop() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
    if [ -z "${AGATEYOKE_KEEP:-}" ]; then
        rm -rf "$run_dir"
    else
        echo "records kept in $run_dir" >&2
    fi
}

control_members() {
    local i members=()
    for i in 1 2 3; do members+=("{\"vm\":\"control-$i\",\"peer\":\"$subnet.1$i:7100\"}"); done
    (IFS=,; echo "[${members[*]}]")
}

cluster_start_control() { # number zone
    cat >"$run_dir/control-$1.json" <<JSON
{"vm":"control-$1","zone":"$2","peer":"$subnet.1$1:7100","operator":"$subnet.1$1:7110",
 "data":"$run_dir/data-$1","members":$(control_members),"log":{"level":"info"}}
JSON
    cluster_start_process "control-$1" "$bin/agateyoke-control" "$run_dir/control-$1.json"
}

cluster_start_entry() { # number zone
    local ip=$subnet.2$1
    cat >"$run_dir/entry-$1.json" <<JSON
{"vm":"entry-$1","zone":"$2","callers":"$ip:7201","announce":"$ip:7202","peer":"$ip:7203",
 "operator":"$ip:7204","control":$(control_members),"log":{"level":"info"}}
JSON
    cluster_start_process "entry-$1" "$bin/agateyoke-entry" "$run_dir/entry-$1.json"
}

cluster_start_backend() { # number zone entries options...
    local n=$1 zone=$2 entries=() e; shift 2
    local record_options=(--record "$run_dir/server-$n.ran" --refusals "$run_dir/server-$n.refused")
    [ "$record_requests" = true ] || record_options=()
    for e in $1; do entries+=("$subnet.2$e:7202"); done; shift
    cluster_start_process "server-$n" "$bin/examples/backend" --name "server-$n" --service kiosk-core \
        --zone "$zone" --listen "$subnet.$((100 + n)):7300" --entry "$(IFS=,; echo "${entries[*]}")" \
        "${record_options[@]}" "$@"
}

cluster_apply_document() { # document
    local _
    for _ in $(seq 100); do
        "$bin/agateyoke" --control "$control_addresses" apply "$1" --base 0 --change measure-1 \
            --author measure >"$run_dir/apply.out" 2>&1 && return 0
        sleep 0.1
    done
    cat "$run_dir/apply.out" >&2
    return 1
}

cluster_start_load() { # name options...
    local name=$1; shift
    cluster_start_process "$name" "$bin/examples/load" --service kiosk-core \
        --read-path '/lockers/{key}' --claim-path '/lockers/{key}/release' "$@"
}

unix_time_ms() { date +%s%3N; }
