#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: one program with the store, the
# executors, the clients and the checks. It needs what the build of the deploy file needs, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go test -c -tags review -o target/review-3/harness ./review/harness-3
