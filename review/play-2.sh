#!/usr/bin/env bash
# Plays a scenario: play-2.sh SCENARIO FOLDER. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. With TROUBLE=0 it leaves the disruptions out.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/bronzewinchd target/review-2/world; do
	if [ ! -x "$program" ]; then
		echo "$program is missing; build it with the command of deploy/system.toml and review/build-2.sh" >&2
		exit 2
	fi
done
exec target/review-2/world -case "$1" -record "$folder/record.txt"
