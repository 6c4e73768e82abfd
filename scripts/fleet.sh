# Sourced: starts and stops the processes of a small system on loopback.
#
# Each fleet has its own addresses (127.77.x.y) and its own temporary folder, so
# that several may run at the same time. Only processes started here are ended.

bin=${AGATEYOKE_BIN:-$PWD/target/release}
run=$(mktemp -d "${TMPDIR:-/tmp}/agateyoke-fleet.XXXXXX")
net=127.77.$((10 + $$ % 240))
control=$net.11:7110,$net.12:7110,$net.13:7110
recording=true
declare -A pids=()

fleet_start() { # name command...
    local name=$1; shift
    "$@" >"$run/$name.out" 2>&1 &
    pids[$name]=$!
}

fleet_signal() { # name signal
    kill "-$2" "${pids[$1]}"
    [ "$2" != KILL ] || wait "${pids[$1]}" 2>/dev/null || true
}

fleet_wait() { # name
    wait "${pids[$1]}" || true
}

fleet_exit() { # name
    wait "${pids[$1]}"
}

fleet_misbehave() { # number change
    local reply
    exec 3<>"/dev/tcp/$net.$((100 + $1))/7300"
    printf 'POST /_stand-in HTTP/1.1\r\nhost: stand-in\r\ncontent-length: %s\r\n\r\n%s' \
        "${#2}" "$2" >&3
    read -r reply <&3
    exec 3>&-
    case "$reply" in *" 200 "*) ;; *) echo "server-$1: $reply" >&2; return 1 ;; esac
}

fleet_stop() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
    if [ -z "${AGATEYOKE_KEEP:-}" ]; then rm -rf "$run"; else echo "kept: $run" >&2; fi
}

members() {
    local i list=()
    for i in 1 2 3; do list+=("{\"vm\":\"control-$i\",\"peer\":\"$net.1$i:7100\"}"); done
    (IFS=,; echo "[${list[*]}]")
}

fleet_control() { # number zone
    cat >"$run/control-$1.json" <<JSON
{"vm":"control-$1","zone":"$2","peer":"$net.1$1:7100","operator":"$net.1$1:7110",
 "data":"$run/data-$1","members":$(members),"log":{"level":"info"}}
JSON
    fleet_start "control-$1" "$bin/agateyoke-control" "$run/control-$1.json"
}

fleet_entry() { # number zone
    local at=$net.2$1
    cat >"$run/entry-$1.json" <<JSON
{"vm":"entry-$1","zone":"$2","callers":"$at:7201","announce":"$at:7202","peer":"$at:7203",
 "operator":"$at:7204","control":$(members),"log":{"level":"info"}}
JSON
    fleet_start "entry-$1" "$bin/agateyoke-entry" "$run/entry-$1.json"
}

fleet_backend() { # number zone entries options...
    local n=$1 zone=$2 list=() e; shift 2
    local records=(--record "$run/server-$n.ran" --refusals "$run/server-$n.refused")
    [ "$recording" = true ] || records=()
    for e in $1; do list+=("$net.2$e:7202"); done; shift
    fleet_start "server-$n" "$bin/examples/backend" --name "server-$n" --service kiosk-core \
        --zone "$zone" --listen "$net.$((100 + n)):7300" --entry "$(IFS=,; echo "${list[*]}")" \
        "${records[@]}" "$@"
}

fleet_apply() { # document
    local _
    for _ in $(seq 100); do
        "$bin/agateyoke" --control "$control" apply "$1" --base 0 --change measure-1 \
            --author measure >"$run/apply.out" 2>&1 && return 0
        sleep 0.1
    done
    cat "$run/apply.out" >&2
    return 1
}

fleet_load() { # name options...
    local name=$1; shift
    fleet_start "$name" "$bin/examples/load" --service kiosk-core --read-path '/lockers/{key}' \
        --claim-path '/lockers/{key}/release' "$@"
}

wall_ms() { date +%s%3N; }
