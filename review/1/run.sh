#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/carobcourse target/review/case-1; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build the project and run review/build.sh" >&2
        exit 2
    fi
done
timeout --signal=KILL 118 target/review/case-1 "$folder/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
