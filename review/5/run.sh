#!/usr/bin/env bash
# Plays the case "pending" of review/standin. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../play.sh" pending "$(dirname "$0")"
