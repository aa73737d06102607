#!/usr/bin/env bash
# Builds the libFuzzer targets with clang and runs each with a fixed seed and number of inputs.
# Usage: tools/fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DHICKORYSHORE_FUZZ=ON >/dev/null
cmake --build build-fuzz --target fuzz_targets
for target in build-fuzz/fuzz/*_fuzz; do
    echo "== $(basename "$target"): $runs inputs"
    log=build-fuzz/$(basename "$target").log
    if ! "$target" -seed=1 -runs="$runs" -max_len=4096 -verbosity=0 -artifact_prefix=build-fuzz/ >"$log" 2>&1; then
        cat "$log"
        exit 1
    fi
done
