#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs Go, and the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-harness ./review/harness
