#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the compiler of the deploy file's build alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
sources=review/stand_ins_3
for case in draining_entry foreign_entry stray_bytes smuggled regress; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$case" \
        "$sources/${case}_case.cpp" "$sources/fleet.cpp" "$sources/http_stream.cpp"
done
