#!/usr/bin/env bash
# Plays the case "done" of review/standin-2: a lasting task ends on a minion that is cut off.
# Writes record.txt beside this file: what was sent, answered and run. TROUBLE=0 leaves out
# the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
record=$here/record.txt
trouble=${TROUBLE:-1}
echo "case done, TROUBLE=$trouble, started $(date -u +%FT%TZ)" > "$record" || exit 2
cd "$here/../.." || exit 2
for program in target/bronzewinchd target/review-2/world; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is missing; run the build of deploy/system.toml and review/build-2.sh" | tee -a "$record" >&2
		exit 2
	fi
done
exec target/review-2/world -case done -trouble "$trouble" -record "$record"
