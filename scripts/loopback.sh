#!/usr/bin/env bash
# Measures latency and requests per second through an entry and an agent, compared with calling the
# engine stand-in directly, in one run over loopback. Arguments are passed to the load tool.
set -eu
arguments=("$@")
cd "$(dirname "$0")/.."
cargo build --locked --quiet --release --workspace --bins
bin=target/release
run=$(mktemp -d)
base=${LOOPBACK_PORT:-22000}
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$run"
}
trap finish EXIT
platform=http://127.0.0.1:$base
export TAMARACKSAIL_PLATFORM=$platform TAMARACKSAIL_LOG_LEVEL=warn
"$bin/standin-platform" --listen 127.0.0.1:$base & pids+=($!)
"$bin/standin-engine" --listen 127.0.0.1:$((base + 1)) --model translit-llm & pids+=($!)
until curl -sf "$platform/calls" >/dev/null; do sleep 0.1; done
for host in "agent agent $((base + 2)) \"translit-pool\"" "entry entry $((base + 3)) null"; do
    set -- $host
    curl -sf -X PUT -H 'content-type: application/json' "$platform/hosts/$1" -d \
        "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"127.0.0.1:$3\",\"domain\":\"tunis-a\",\"serves\":$4,\"phase\":\"live\"}"
done
cat examples/tn-nord/objects.yaml >"$run/objects.yaml"
sed -i 's/concurrency: 8/concurrency: 64/' "$run/objects.yaml"
"$bin/tamaracksailctl" apply -f "$run" >/dev/null
"$bin/tamaracksail-agent" --listen 127.0.0.1:$((base + 2)) --name agent --domain tunis-a \
    --kind engine --serves translit-pool --server http://127.0.0.1:$((base + 1)) & pids+=($!)
agent=$!
"$bin/tamaracksail-entry" --listen 127.0.0.1:$((base + 3)) --name entry --domain tunis-a & pids+=($!)
entry=$!
body='{"model":"translit-llm","max_tokens":1,"messages":[{"role":"user","content":"x"}]}'
until curl -sf "http://127.0.0.1:$((base + 3))/v1/chat/completions" -H 'content-type: application/json' \
    -d "$body" >/dev/null; do sleep 0.1; done
curl -sf -X POST -H 'content-type: application/json' "http://127.0.0.1:$((base + 1))/faults" \
    -d '{"token_ms":0}' >/dev/null
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
idle_start=$(( $(ticks $entry) + 0 )); idle_agent=$(ticks $agent)
sleep 10
echo "idle for 10 s: entry $(( $(ticks $entry) - idle_start )) and agent $(( $(ticks $agent) - idle_agent )) of 1000 processor ticks"
"$bin/load" --direct "http://127.0.0.1:$((base + 1))" --through "http://127.0.0.1:$((base + 3))" "${arguments[@]}"
grep -H VmRSS "/proc/$entry/status" "/proc/$agent/status" | sed "s|/proc/$entry/status|entry|; s|/proc/$agent/status|agent|"
