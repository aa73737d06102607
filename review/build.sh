#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/main.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" \
        "$case" review/stand_ins/*.cpp
done
