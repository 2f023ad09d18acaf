#!/usr/bin/env bash
# Runs the case moved-queue. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/lavenderhollow ] && [ -x target/review/standin ] || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
end() {
  for pid in $(cat "$PIDS"); do kill -9 "$pid" 2>/dev/null; done
  rm -f "$PIDS"
}
trap end EXIT
trap 'kill "$standin" 2>/dev/null; exit 2' INT TERM
target/review/standin moved-queue "$here" &
standin=$!
wait "$standin"
