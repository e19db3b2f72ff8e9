#!/usr/bin/env bash
# Plays the case "load" of review/standin. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../play.sh" load "$(dirname "$0")"
