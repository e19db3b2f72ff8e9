#!/usr/bin/env bash
# play.sh CASE RECORD plays a case of the stand-in program and appends to the file RECORD
# what was sent, answered and run. It exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd) || exit 2
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2") || exit 2
fail() {
	echo "could not run: $1" | tee -a "$record"
	exit 2
}
[ -x "$root/target/bronzewinchd" ] || fail "target/bronzewinchd is missing; run the build of deploy/system.toml"
[ -x "$root/target/review-standin" ] || fail "target/review-standin is missing; run review/build.sh"
temporary=$(mktemp -d) || fail "no temporary folder"
trap 'rm -rf "$temporary"' EXIT
"$root/target/review-standin" "$1" "$root" "$temporary" "$record" &
pid=$!
trap 'kill "$pid"' INT TERM # the program ends the nodes that it started
while wait "$pid"; code=$?; kill -0 "$pid" 2>/dev/null; do :; done
if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS"/; fi
exit "$code"
