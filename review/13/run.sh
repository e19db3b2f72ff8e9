#!/bin/sh
# Plays the case 'restarted'. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. Build first: the deploy file's build, review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bronzewinchd ] && [ -x target/review3 ] || exit 2
exec target/review3 restarted review/13
