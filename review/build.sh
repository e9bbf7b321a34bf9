#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. The
# project itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review/case-$number" &
done
for job in $(jobs -p); do
    wait "$job"
done
