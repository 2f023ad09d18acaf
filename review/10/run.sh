#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/review-2/stand ] || exit 2
exec target/review-2/stand quota review/10/record.txt
