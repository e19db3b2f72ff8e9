#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. It needs Go and no network. The daemon is built
# with the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off go build -buildvcs=false -o ../../target/review-2/world .
