#!/usr/bin/env bash
# Demonstrates the main features with stand-ins for the backend servers and the platform: builds,
# starts all processes on loopback, checks each feature, stops the processes that it started, and
# exits with a non-zero status if a check failed.
set -u
cd "$(dirname "$0")/.."
cargo build --locked --quiet --workspace --bins || exit 1
bin=target/debug
run=$(mktemp -d)
base=${QUICKSTART_PORT:-21000}
pids=()
failed=0

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$run"
}
trap finish EXIT

start() { # start NAME COMMAND...: runs COMMAND in the background
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

until_ok() { # until_ok COMMAND...: repeats COMMAND until it succeeds, for 10 s at most
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

report() { # report ok|FAIL TEXT: prints the result of a check
    printf '%-5s %s\n' "$1" "$2"
    [ "$1" = ok ] || failed=1
}

platform=http://127.0.0.1:$base
export TAMARACKSAIL_PLATFORM=$platform
export TAMARACKSAIL_LOG_FORMAT=plain
start platform "$bin/standin-platform" --listen 127.0.0.1:$base
until_ok curl -sf "$platform/calls"

host() { # host NAME ROLE PORT DOMAIN [SERVES]: adds a host to the host list
    local serves=null
    [ -n "${5:-}" ] && serves="\"$5\""
    curl -sf -X PUT -H 'content-type: application/json' "$platform/hosts/$1" -d \
        "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"127.0.0.1:$3\",\"domain\":\"$4\",\"serves\":$serves,\"phase\":\"live\"}"
}

"$bin/tamaracksailctl" apply -f examples/tn-nord --author quickstart >/dev/null ||
    report FAIL "apply examples/tn-nord"

seeds=(--seed "tunis-a=127.0.0.1:$((base + 1))" --seed "tunis-b=127.0.0.1:$((base + 2))")
entry() { # entry NAME PORT DOMAIN: adds an entry to the host list and starts it
    host "$1" entry "$2" "$3"
    start "$1" "$bin/tamaracksail-entry" --listen "127.0.0.1:$2" --name "$1" --domain "$3" \
        --status-period-ms 1000 --parallel 8 "${seeds[@]}"
}
agent() { # agent NAME PORT DOMAIN KIND SERVES SERVER-PORT: the same for an agent
    host "$1" agent "$2" "$3" "$5"
    start "$1" "$bin/tamaracksail-agent" --listen "127.0.0.1:$2" --name "$1" --domain "$3" \
        --kind "$4" --serves "$5" --server "http://127.0.0.1:$6" "${seeds[@]}"
}
for i in 1 2 3; do
    start engine-$i "$bin/standin-engine" --listen 127.0.0.1:$((base + 20 + i)) --model translit-llm
done
start service "$bin/standin-service" --listen 127.0.0.1:$((base + 24))
agent agent-1 $((base + 11)) tunis-a engine translit-pool $((base + 21))
agent agent-2 $((base + 12)) tunis-a engine translit-pool $((base + 22))
agent agent-3 $((base + 13)) tunis-b engine translit-pool $((base + 23))
agent agent-4 $((base + 14)) tunis-b service registre-app $((base + 24))
shelf() { # shelf NAME PORT DOMAIN: the same for a shelf
    host "$1" shelf "$2" "$3"
    start "$1" "$bin/tamaracksail-shelf" --listen "127.0.0.1:$2" --data "$run/$1"
}
shelf shelf-1 $((base + 31)) tunis-a
shelf shelf-2 $((base + 32)) tunis-b
entry entry-1 $((base + 1)) tunis-a
entry entry-2 $((base + 2)) tunis-b
one=http://127.0.0.1:$((base + 1))
two=http://127.0.0.1:$((base + 2))
until_ok curl -sf "$one/readyz" && until_ok curl -sf "$two/readyz" ||
    report FAIL "the entries are not ready"

# A clerk looks up a name.
until_ok curl -sf "$one/services/registre-app/names/42"
answer=$(curl -s "$one/services/registre-app/names/42")
[[ $answer == *'"Name of 42"'* ]] && report ok "a clerk's look-up: $answer" ||
    report FAIL "a clerk's look-up: $answer"

# A streamed completion names the versions of the weights that generated it.
answer=$(curl -sN "$one/v1/chat/completions" -H 'content-type: application/json' -d \
    '{"model":"translit-llm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"draft a name"}]}')
[[ $answer == *'"versions":[1]'* && $answer == *'[DONE]'* ]] &&
    report ok "a streamed draft names its versions" || report FAIL "a streamed draft: $answer"

# A filing that is sent twice with one idempotency key runs once.
file() {
    curl -s "$1/services/registre-app/filings" -H 'content-type: application/json' \
        -H 'idempotency-key: filing-7' -H 'tamaracksail-caller: clerk' -d '{"filing":"7"}'
}
first=$(file "$one")
second=$(file "$two")
runs=$(curl -s "http://127.0.0.1:$((base + 24))/filings")
[[ $runs == '{"7":1}' && $first == "$second" ]] &&
    report ok "a filing sent twice under one key ran once: $second" ||
    report FAIL "a filing sent twice: first $first, second $second, runs $runs"

# A training step of 64 samples, during which new weights are rolled out.
"$bin/standin-trainer" --entry "$one" --entry "$two" --trainer translit --state "$run/trainer" \
    --groups 16 --group-size 4 --max-tokens 100 --learn-ms 300 >"$run/trainer.out" 2>&1 &
trainer=$!
pids+=($trainer)
sleep 0.8
cat >"$run/new-version.yaml" <<'YAML'
kind: Version
name: translit-2
spec: {model: translit-llm, number: 2}
---
kind: Model
name: translit-llm
spec: {serve: translit-2}
YAML
"$bin/tamaracksailctl" apply -f "$run/new-version.yaml" --author quickstart >/dev/null ||
    report FAIL "apply a new version"
loaded() { # loaded: succeeds if every engine has version 2
    for i in 1 2 3; do
        curl -sf "http://127.0.0.1:$((base + 20 + i))/health" | grep -q '"translit-llm":2' || return 1
    done
}
if until_ok loaded; then report ok "new weights are on all 3 engines"; else
    report FAIL "new weights are not on all engines"
fi
wait $trainer
answer=$(cat "$run/trainer.out")
[[ $answer == *'"samples":64,"doubled":0'* && $answer == *'"complete":true'* ]] &&
    report ok "a training step of 64 samples, each once: $answer" ||
    report FAIL "a training step: $answer"

# A server is drained and stopped while long streams run through it; no stream may be cut off.
streams=()
for i in 1 2 3 4; do
    curl -sN "$one/v1/chat/completions" -H 'content-type: application/json' -d \
        "{\"model\":\"translit-llm\",\"stream\":true,\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":\"long draft $i\"}]}" \
        >"$run/stream-$i" &
    streams+=($!)
done
sleep 0.2
"$bin/tamaracksailctl" drain agent-1 >/dev/null || report FAIL "drain agent-1"
kill -TERM "$pid_agent_1"
wait "$pid_agent_1"
for stream in "${streams[@]}"; do wait "$stream"; done
whole=$(grep -l 'data: \[DONE\]' "$run"/stream-* | wc -l)
[ "$whole" = 4 ] && report ok "a server was drained and stopped; 4 of 4 streams are whole" ||
    report FAIL "a server was drained: $whole of 4 streams are whole"

# `status` and `cost` show what the entries wrote to the platform.
sleep 1.2
cost=$("$bin/tamaracksailctl" cost | grep -c delivered)
[ "$cost" -ge 2 ] && report ok "cost of today: $cost accounts" || report FAIL "cost of today: $cost"
status=$("$bin/tamaracksailctl" status | grep -c 'generation 2')
[ "$status" -ge 2 ] && report ok "status: generation 2 in force at both entries" ||
    report FAIL "status: $("$bin/tamaracksailctl" status)"

# The gateway, which has this role on the users' platform, with stand-ins of its own.
while read -r verdict text; do
    report "$verdict" "gateway: $text"
done < <("$bin/gateway-demo" "$bin/tamaracksail-gateway" || echo "FAIL a line above did not hold")

exit $failed
