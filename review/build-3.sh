#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. Needs the packages
# of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
cd review/standin-3
for file in http world deployment; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -c "$file.cpp" -o "../../$out/$file.o" &
done
wait
for case in quota_takeover removed_route restarted_kind lasting_done; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$case.cpp" "../../$out/http.o" \
        "../../$out/world.o" "../../$out/deployment.o" -o "../../$out/$case" &
done
wait
for case in quota_takeover removed_route restarted_kind lasting_done; do
    [ -x "../../$out/$case" ]
done
