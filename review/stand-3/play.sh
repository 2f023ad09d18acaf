#!/usr/bin/env bash
# Plays a verb of the stand-ins that has no folder of its own. Ends as the scripts of the cases do, and
# writes what was sent, answered and run to FILE.
# Usage: review/stand-3/play.sh VERB FILE
set -uo pipefail
[[ $# -eq 2 ]] || exit 2
file=$(realpath -m "$2")
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
stand=target/review-3/stand
[[ -x $stand && -x target/release/lavenderhollow ]] || exit 2
CASE_TEMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TEMP"' EXIT
export CASE_TEMP CASE_ROOT=$PWD
timeout --kill-after=2 115 "$stand" "$1" "$file"
code=$?
[[ $code -le 2 ]] || code=2
exit "$code"
