#!/usr/bin/env bash
# shards.sh [RUNS] runs TestAddShards of review/owner, 40 times by default, and prints how
# often it failed and the line that crashed. An overlay adds the test to package
# standin/coordination; no file outside a temporary folder is written. It exits with 1 if
# a run failed, 0 if none did, and 2 if it could not run.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd) || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
printf '{"Replace": {"%s": "%s"}}\n' "$root/standin/coordination/review_test.go" \
	"$root/review/owner/shards_test.go" >"$temporary/overlay.json"
cd "$root" || exit 2
go test -overlay "$temporary/overlay.json" -c -o "$temporary/test" ./standin/coordination || exit 2
runs=${1:-40}
failed=0
for ((i = 1; i <= runs; i++)); do
	if ! "$temporary/test" -test.run '^TestAddShards$' -test.timeout 1m >"$temporary/out" 2>&1; then
		failed=$((failed + 1))
		grep -m1 -E '^panic:|FAIL' "$temporary/out"
		grep -m1 -o 'owner/[a-z]*\.go:[0-9]*' "$temporary/out"
	fi
done
echo "$failed of $runs runs failed"
((failed == 0))
