#!/usr/bin/env bash
# Checks that the decision modules stay free of input and output: no CivetWeb, ZeroMQ, clocks, threads or
# locks in them, since the same functions run in the daemon, the tests and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
decisions=(base result ownership shard routes registry dispatch statesync query membership config ledger shutdown history)
forbidden='civetweb|zmq|<thread>|<mutex>|<condition_variable>|<atomic>|steady_clock|system_clock|hickoryshore/clock/|log4cplus|sys/socket'
status=0
for module in "${decisions[@]}"; do
    for folder in "include/hickoryshore/$module" "src/hickoryshore/$module"; do
        [ -d "$folder" ] || continue
        if grep -rnE --include='*.h' --include='*.cpp' --exclude='*_test.cpp' "$forbidden" "$folder"; then
            echo "decision module $module must not use input, output, clocks or threads" >&2
            status=1
        fi
    done
done
exit $status
