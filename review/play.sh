#!/usr/bin/env bash
# play.sh CASE FOLDER plays a case of the stand-in program and writes FOLDER/record.txt.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$2" && pwd)
[ -x "$root/target/review-standin" ] && [ -x "$root/target/bronzewinchd" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$root/target/review-standin" "$1" "$root" "$temporary" "$folder/record.txt" &
pid=$!
trap 'kill "$pid"' INT TERM # the program ends the nodes that it started
while wait "$pid"; code=$?; kill -0 "$pid" 2>/dev/null; do :; done
if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS"/; fi
exit "$code"
