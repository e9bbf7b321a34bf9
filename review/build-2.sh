#!/bin/sh
# Builds the stand-ins of review/7 to review/10 into target/review/, after the
# build of the deploy file. Needs no other package than that.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review/cases \
    review/standin-2/*.cpp -lfmt
