#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
stand=target/review-3/stand
[[ -x $stand && -x target/release/lavenderhollow ]] || exit 2
CASE_TEMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TEMP"' EXIT
export CASE_TEMP CASE_ROOT=$PWD
timeout --kill-after=2 115 "$stand" hopeless review/13/record.txt
code=$?
[[ $code -le 2 ]] || code=2
exit "$code"
