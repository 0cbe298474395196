#!/bin/sh
# Starts a small fleet on 127.0.0.1 with the configuration examples/skela.json,
# sends requests of its teams through it and checks their outcomes against the
# records of the backend servers. HOLD=1 leaves the fleet running and prints
# commands to try.
set -eu
build=$(cd "$1" && pwd)
run=$build/demo-run
config=examples/skela.json
daemons=""
standins=""

# Stops the daemons before the store, from which they deregister.
stop_all() {
    for group in "$daemons" "$standins"; do
        for pid in $group; do
            kill "$pid" 2>/dev/null || true
        done
        for pid in $group; do
            wait "$pid" 2>/dev/null || true
        done
    done
    daemons=""
    standins=""
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENTS...: run in the background, log to NAME.log
start() {
    name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    case $name in
    egret*) daemons="$! $daemons" ;;
    *) standins="$standins $!" ;;
    esac
}

# wait_for SECONDS COMMAND...: repeat the command until it succeeds, or exit
# after SECONDS
wait_for() {
    tries=$(($1 * 10))
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "gave up waiting for: $*; see the logs in $run" >&2
            exit 1
        fi
        sleep 0.1
    done
}

# write_settings FILE NAME DC HTTP_PORT PEER_PORT: settings of a daemon
write_settings() {
    cat >"$1" <<END
{
  "name": "$2", "dc": "$3", "address": "127.0.0.1",
  "http_port": $4, "peer_port": $5,
  "store_url": "http://127.0.0.1:$store_port",
  "secret_file": "$run/secret", "log_level": "info"
}
END
}

# plan_team TEAM QUEUES CONCURRENCY IDEMPOTENT_PERMILLE BODY CONTENDS: issue a
# key for the team and print its entry in the load plan
plan_team() {
    key=$(ctl key issue "$1")
    printf '%s{"team": "%s", "key": "%s", "queues": [%s], "ids": true,\n' \
        "$comma" "$1" "$key" "$2"
    printf ' "concurrency": %s, "idempotent_permille": %s,\n' "$3" "$4"
    printf ' "body": "%s", "contends": %s}\n' "$5" "$6"
    comma=,
}

write_plan() {
    comma=
    echo '{"duration_ms": 8000, "teams": ['
    plan_team adria-gradnja '"permit-notice"' 80 300 \
        "run_ms=400 answer_bytes=2000" true
    plan_team kvarner-skele '"permit-notice"' 80 300 \
        "run_ms=400 answer_bytes=2000" true
    plan_team dalmacija-fasade '"permit-notice"' 80 300 \
        "run_ms=400 answer_bytes=2000" true
    plan_team split-inspectors '"site-plan", "facade-drawing"' 20 500 \
        "run_ms=100 answer_bytes=20000" false
    plan_team zagreb-foremen '"amendment", "reminder"' 10 0 \
        "run_ms=30 answer_bytes=500" false
    echo ']}'
}

rm -rf "$run"
mkdir -p "$run"
umask 077
od -An -N24 -tx1 /dev/urandom | tr -d ' \n' >"$run/secret"
umask 022
"$build/standins/standin-ports" 10 >"$run/ports"
port() {
    sed -n "$1p" "$run/ports"
}
store_port=$(port 1)
store=http://127.0.0.1:$store_port
ctl() {
    "$build/egretctl/egretctl" --store "$store" --secret-file "$run/secret" \
        "$@"
}

start store "$build/standins/standin-store" --port "$store_port"
start backend "$build/standins/standin-backend" --dcs split-1,zadar-1 \
    --layout notices:10,renders:10,amendments:9,archive:8,reminders:9,spare:4 \
    --hosts-out "$run/hosts.json" --port-out "$run/backend.port"
wait_for 10 test -s "$run/backend.port"
wait_for 10 curl -sf -X PUT "$store/standin/hosts" \
    --data-binary "@$run/hosts.json"
backend=127.0.0.1:$(cat "$run/backend.port")

targets=""
for i in 1 2 3; do
    http_port=$(port $((i * 3 - 1)))
    dc=split-1
    [ "$i" = 3 ] && dc=zadar-1
    write_settings "$run/egretd-$i.json" "entry-$i" "$dc" "$http_port" \
        "$(port $((i * 3)))"
    write_settings "$run/egretfleetd-$i.json" "entry-$i" "$dc" \
        "$(port $((i * 3 + 1)))" 0
    start "egretd-$i" "$build/egretd/egretd" "$run/egretd-$i.json"
    start "egretfleetd-$i" "$build/egretfleetd/egretfleetd" \
        "$run/egretfleetd-$i.json"
    targets="$targets${targets:+,}127.0.0.1:$http_port"
done
first=${targets%%,*}

ctl apply "$config" --wait
for target in $(echo "$targets" | tr , ' '); do
    wait_for 20 curl -sf "http://$target/healthz"
done
write_plan >"$run/plan.json"

status=0
"$build/standins/standin-load" --targets "$targets" --plan "$run/plan.json" \
    --config "$config" --backend "$backend" --out "$run/results.json" ||
    status=$?

if [ "${HOLD:-0}" = 1 ]; then
    key=$(ctl key issue adria-gradnja)
    cat <<END

The fleet stays up until this script is interrupted. Lines to try:
  curl -i http://$first/v1/queues/permit-notice/tasks \\
    -H 'Authorization: Bearer $key' -d 'tag=first run_ms=50'
  curl -i http://$first/v1/queues/notice-lookup/tasks -d 'no key needed'
  ctl="$build/egretctl/egretctl -s $store -S $run/secret"
  \$ctl status
  \$ctl explain permit-notice
  \$ctl dc out split-1 --wait
  \$ctl key list
  curl -s http://$first/metrics
END
    wait
fi
exit "$status"
