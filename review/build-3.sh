#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review3 .
