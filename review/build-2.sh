#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
compile() {
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -c "$1" \
        -o "target/review-2/$(basename "$1" .cpp).o"
}
export -f compile
printf '%s\n' review/stand_ins_2/*.cpp | xargs -P 4 -I{} bash -c 'compile {}'
"${CXX:-g++}" -pthread -o target/review-2/play target/review-2/*.o
