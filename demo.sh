#!/usr/bin/env bash
# Starts the whole path on the embedded stand-ins and shows one streamed answer.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins --locked

bin=target/debug
dir=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$dir"
}
trap finish EXIT

store=127.0.0.1:9000
"$bin/celerylever-standin" store --address "$store" & pids+=($!)
"$bin/celerylever-standin" engine --address 127.0.0.1:9101 & pids+=($!)
"$bin/celerylever-standin" engine --address 127.0.0.1:9102 & pids+=($!)
"$bin/celerylever-standin" service --address 127.0.0.1:9201 & pids+=($!)
"$bin/celerylever-entry" --settings examples/entry.ini & pids+=($!)

pair=$("$bin/celerylever" key new --output json)
key=$(jq -r .key <<<"$pair")
sed "s/sha256:@DIGEST@/$(jq -r .digest <<<"$pair")/" examples/demo.ini >"$dir/demo.ini"
until curl -s -o "$dir/health" http://127.0.0.1:8081/healthz; do sleep 0.1; done
curl -s -o "$dir/vms" "http://$store/vms" -d '{"items":[{"vm":"v1","address":"127.0.0.1:8080","availability_zone":"a","state":"live"}]}'
"$bin/celerylever" apply "$dir/demo.ini" --store "$store" --if-version 0 --wait

echo "--- a streamed answer:"
curl -sN http://127.0.0.1:8080/v1/chat/completions \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d '{"model":"grade-note","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Grade load 17."}]}'
echo "--- a plain service:"
curl -s http://127.0.0.1:8080/slots/today -H "Authorization: Bearer $key"
echo
echo "--- a refusal:"
curl -s http://127.0.0.1:8080/v1/models
echo
"$bin/celerylever" status --store "$store"
