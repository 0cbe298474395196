#!/bin/sh
# Starts an emulator of the prepared platform on 127.0.0.1 and three entry
# hosts, sends jobs of both deployments through them and checks every start.
set -eu
build=$(cd "$1" && pwd)
run=$build/demo-jobs-run
port=${PORT:-7600}
pids=""

stop_all() {
    for pid in $pids; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in $pids; do
        wait "$pid" 2>/dev/null || true
    done
    pids=""
}
trap stop_all EXIT
trap 'exit 130' INT TERM

rm -rf "$run"
mkdir -p "$run"
"$build/standins/jobs/jobs-emulator" --port "$port" examples/jobs.json \
    >"$run/emulator.log" 2>&1 &
pids="$pids $!"

fronts=""
for n in 1 2 3; do
    base=$((port + 100 + 10 * n))
    cat >"$run/entry-$n.json" <<END
{"node_name": "entry-$n", "zone": "dc-a", "ip": "127.0.0.1",
 "internal_ports": [$((base + 2)), $((base + 5))],
 "listen": {"front": "127.0.0.1:$base", "ready": "127.0.0.1:$((base + 1))"},
 "platform": {"address": "127.0.0.1:$port"},
 "cloud": {"address": "127.0.0.1:$((port + 1))"},
 "limits": {"cpu_share": 0.5, "cores": 1},
 "bounds": {"stop_ms": 200, "move_s": 1, "maintenance_s": 1, "grace_s": 2,
            "max_hold_ms": 6000, "config_ms": 2000, "lease_ms": 3000}}
END
    "$build/egretjobd/egretjobd" "$run/entry-$n.json" \
        >"$run/entry-$n.log" 2>&1 &
    pids="$pids $!"
    fronts="$fronts 127.0.0.1:$base"
done

tries=100
until curl -sf "http://127.0.0.1:$((port + 111))/v1/readiness" >/dev/null; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
        echo "the entry hosts did not get ready; see $run" >&2
        exit 1
    fi
    sleep 0.1
done
# shellcheck disable=SC2086
"$build/standins/jobs/jobs-load" --admin "127.0.0.1:$((port + 2))" \
    --seconds "${SECONDS_OF_LOAD:-8}" $fronts
