#!/usr/bin/env bash
# Runs the main job on stand-ins: builds, starts everything on loopback, shows each promise,
# ends each process that it started, and exits non-zero if any line did not hold.
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

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_${name//-/_}=$!"
}

until_ok() { # until_ok COMMAND...: waits for it to succeed, 10 s at most
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

report() { # report OK|FAIL TEXT
    printf '%-5s %s\n' "$1" "$2"
    [ "$1" = ok ] || failed=1
}

platform=http://127.0.0.1:$base
export TAMARACKSAIL_PLATFORM=$platform
export TAMARACKSAIL_LOG_FORMAT=plain
start platform "$bin/standin-platform" --listen 127.0.0.1:$base
until_ok curl -sf "$platform/calls"

host() { # host NAME ROLE PORT DOMAIN [SERVES]: puts a host on the host list
    local serves=null
    [ -n "${5:-}" ] && serves="\"$5\""
    curl -sf -X PUT -H 'content-type: application/json' "$platform/hosts/$1" -d \
        "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"127.0.0.1:$3\",\"domain\":\"$4\",\"serves\":$serves,\"phase\":\"live\"}"
}

"$bin/tamaracksailctl" apply -f examples/tn-nord --author quickstart >/dev/null ||
    report FAIL "apply examples/tn-nord"

seeds=(--seed "tunis-a=127.0.0.1:$((base + 1))" --seed "tunis-b=127.0.0.1:$((base + 2))")
entry() { # entry NAME PORT DOMAIN
    host "$1" entry "$2" "$3"
    start "$1" "$bin/tamaracksail-entry" --listen "127.0.0.1:$2" --name "$1" --domain "$3" \
        --status-period-ms 1000 "${seeds[@]}"
}
agent() { # agent NAME PORT DOMAIN KIND SERVES SERVER-PORT
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
entry entry-1 $((base + 1)) tunis-a
entry entry-2 $((base + 2)) tunis-b
one=http://127.0.0.1:$((base + 1))
two=http://127.0.0.1:$((base + 2))
until_ok curl -sf "$one/readyz" && until_ok curl -sf "$two/readyz" ||
    report FAIL "the entries are not ready"

# A clerk's look-up.
until_ok curl -sf "$one/services/registre-app/names/42"
answer=$(curl -s "$one/services/registre-app/names/42")
[[ $answer == *'"Name of 42"'* ]] && report ok "a clerk's look-up: $answer" ||
    report FAIL "a clerk's look-up: $answer"

# A streamed draft that names its versions.
answer=$(curl -sN "$one/v1/chat/completions" -H 'content-type: application/json' -d \
    '{"model":"translit-llm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"draft a name"}]}')
[[ $answer == *'"versions":[1]'* && $answer == *'[DONE]'* ]] &&
    report ok "a streamed draft names its versions" || report FAIL "a streamed draft: $answer"

# A filing sent twice under one key runs once.
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

exit $failed
