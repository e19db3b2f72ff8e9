#!/bin/sh
# Plays the case 'oversized' of review/standin-3, and writes record.txt beside this file: what was sent,
# answered and run. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. Build first: the deploy file's build, review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bronzewinchd target/review3; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is missing" | tee review/12/record.txt
		exit 2
	fi
done
exec target/review3 oversized review/12
