#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/cases || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec target/review/cases restarted-owner review/7/record.txt
