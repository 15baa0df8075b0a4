#!/usr/bin/env bash
# Formatter, linter, documentation and tests; prints the test runner's closing lines.
# A test named in KNOWN-RED.txt may fail; it is printed. Any other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")"

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$log" || status=$?
[ "$status" -eq 0 ] && exit 0

failed=$(sed -n 's/^test \(.*\) \.\.\. FAILED$/\1/p' "$log" | sort -u)
[ -n "$failed" ] || exit "$status"
while read -r name; do
    if ! grep -qxF "test: $name" KNOWN-RED.txt 2>/dev/null; then
        echo "failed and not in KNOWN-RED.txt: $name"
        exit "$status"
    fi
    echo "known red: $name"
done <<<"$failed"
grep '^test result' "$log" |
    awk '{ passed += $4; failed += $6 } END { print passed " passed, " failed " failed (all known red)" }'
