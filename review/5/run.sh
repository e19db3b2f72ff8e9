#!/usr/bin/env bash
# Plays the case "gone" of review/standin. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../play.sh" gone "$(dirname "$0")"
