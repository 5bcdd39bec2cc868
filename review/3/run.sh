#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
case="$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lichenfall ]; then
  go build -trimpath -ldflags=-linkmode=external -o target/ . || exit 2
fi
if [ ! -x target/review-harness ]; then
  review/build.sh || exit 2
fi
timeout --kill-after=5 110 target/review-harness -root . -case "$case"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
