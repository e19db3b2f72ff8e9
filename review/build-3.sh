#!/bin/sh
# Builds the stand-ins of cases 11 to 15. It needs Go and no network. The daemon is built with
# the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review3 .
