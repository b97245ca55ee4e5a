# Functions that start and stop the quick start fleet. Sourced by the scripts in bin, which change to the top folder first.
run=run/quickstart
config=examples/quickstart
pids=()

stop_fleet() {
    trap - EXIT INT TERM
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}

start() {
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
}

standin() {
    exec java -XX:+UseSerialGC -Xmx64m -Xss256k -XX:TieredStopAtLevel=1 -jar standin/target/standin.jar "$@"
}

wait_for() {
    local what=$1
    shift
    for _ in $(seq 1 150); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.2
    done
    echo "$what did not become ready; see $run/*.log" >&2
    exit 1
}

operator() {
    bin/wagtailcart --server 127.0.0.1:17201 --server 127.0.0.1:17202 --server 127.0.0.1:17203 \
        --token-file "$config/operator.token" --operator quickstart "$@"
}

# Starts 5 stand-ins, 3 control members, 3 sidecars and 2 entries, applies the settings tree and waits until the entries
# serve requests to the engines and services.
start_fleet() {
    trap stop_fleet EXIT INT TERM
    rm -rf "$run"
    mkdir -p "$run"
    for i in 1 2 3; do
        start "engine-$i" standin engine --listen "127.0.0.1:1730$i" --model repair-assistant ${ENGINE_OPTIONS:-}
    done
    for i in 1 2; do
        start "stock-$i" standin service --listen "127.0.0.1:1731$i"
    done
    for name in control-1 control-2 control-3 sidecar-1 sidecar-2 sidecar-3 entry-1 entry-2; do
        start "$name" bin/wagtailcartd --settings "$config/$name.ini"
    done
    wait_for "the control group" operator status
    operator apply "$config/tree.ini" >"$run/apply.txt"
    operator wait 1 --limit-millis 60000 >"$run/wait.txt"
    for port in 17001 17002; do
        wait_for "the entry at $port" curl -fsS "http://127.0.0.1:$port/readyz"
        wait_for "the engines" curl -fsS "http://127.0.0.1:$port/v1/completions" -H 'Content-Type: application/json' \
            -d '{"model":"repair-assistant","max_tokens":1,"prompt":"ready?"}'
        wait_for "the services" curl -fsS "http://127.0.0.1:$port/services/parts-stock/parts"
    done
}
