#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. Needs the packages
# of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/../"
out=$PWD/target/review-3
rm -rf "$out"
mkdir -p "$out"
cd review/standin-3

compile() { g++ -std=c++17 -O1 -Wall -Wextra -pthread "$@"; }

# Waits for all jobs in the background and fails if one has failed.
wait_for_all() {
    local pid
    for pid in $(jobs -p); do wait "$pid"; done
}

parts=(http world deployment)
cases=(quota_takeover removed_route restarted_kind unread_log)
for part in "${parts[@]}"; do
    compile -c "$part.cpp" -o "$out/$part.o" &
done
wait_for_all
for case in "${cases[@]}"; do
    compile "$case.cpp" "$out"/*.o -o "$out/$case" &
done
wait_for_all
