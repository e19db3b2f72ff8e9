#!/usr/bin/env bash
# play.sh CASE FOLDER plays a case of the stand-in program and writes FOLDER/record.txt.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$2" && pwd)
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
[ -x "$root/target/review-standin" ] && [ -x "$root/target/bronzewinchd" ] || exit 2
"$root/target/review-standin" "$1" "$root" "$temporary" "$folder/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS"/; fi
exit "$code"
