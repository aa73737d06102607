#!/usr/bin/env bash
# Configures and builds everything into build/, or into the folder named by the first argument.
# Further arguments go to CMake. TARGET names one target in place of everything.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
# Clones in other folders share the compiler's cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder" --target "${TARGET:-all}"
