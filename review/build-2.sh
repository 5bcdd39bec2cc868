#!/usr/bin/env bash
# Builds target/review-2, the program that plays the cases 4 and following with its stand-ins. It needs
# no network. The deploy file's build has to run too: the cases start target/lichenfall.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-2 ./review/harness-2
