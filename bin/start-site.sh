# Starts stand-ins and daemons on the loopback address; sourced by bin/demo and bin/bench.
# Needs: $dir, a fresh folder for settings and logs; $port_base; $vms, how many daemons. Sets: pids.

build_if_needed() {
    local newer
    newer="$(find . -name target -prune -o \( -name '*.kt' -o -name pom.xml \) -newer dist/target/lib -print -quit 2>/dev/null || echo missing)"
    if [ ! -d dist/target/lib ] || [ -n "$newer" ]; then
        mvn -B -ntp -q package -DskipTests
        touch dist/target/lib
    fi
}

pids=()

stop_site() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

start_stand_ins() {
    bin/standin platform --port "$port_base" >"$dir/platform.log" 2>&1 &
    pids+=($!)
    local engine fencing
    for engine in 1 2 3; do
        fencing=""
        if [ "$engine" = 1 ]; then fencing="--checks-fencing"; fi
        bin/standin engine --port $((port_base + engine)) --platform "127.0.0.1:$port_base" \
            --kv-cache-bytes 10737418240 --memory-bytes 85899345920 $fencing >"$dir/engine-$engine.log" 2>&1 &
        pids+=($!)
    done
    bin/standin service --port $((port_base + 9)) >"$dir/service.log" 2>&1 &
    pids+=($!)
}

start_daemon() {
    local vm="$1"
    cat >"$dir/vm-$vm.ini" <<INI
[vm]
id = vm-$vm
failure_domain = domain-$vm
region = demo

[callers]
listen = 127.0.0.1:$((port_base + 10 + vm))
address_lifetime = 2s

[peers]
listen = 127.0.0.1:$((port_base + 20 + vm))
secret_file = $dir/peers.secret

[operators]
listen = 127.0.0.1:$((port_base + 30 + vm))
token_file = $dir/operators.token

[platform]
address = 127.0.0.1:$port_base
INI
    bin/daisybendd --config "$dir/vm-$vm.ini" >"$dir/vm-$vm.log" 2>&1 &
    pids+=($!)
}

start_site() {
    rm -rf "$dir"
    mkdir -p "$dir"
    echo "demo-operators-token" >"$dir/operators.token"
    echo "demo-peer-secret" >"$dir/peers.secret"
    trap stop_site EXIT
    start_stand_ins
    local vm
    for ((vm = 0; vm < vms; vm++)); do start_daemon "$vm"; done
}
