#!/usr/bin/env bash
# Checks that the decision modules stay free of input and output: no CivetWeb, ZeroMQ, clocks, threads or
# locks in them, since the same functions run in the daemon, the tests and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
decisions=(base result ownership shard routes registry dispatch statesync clientlimits query membership config ledger shutdown history)
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
# The names of the users' platform stand in platform/ alone.
names='Part-Stamps|Missing-Parts|Time-Budget-Ms|Expect-Replica|Not-Executed|Response-Stamp|Replica-Load|Replica-Id'
names+='|warmup_left_ms|min_part_share|kv-txn|kv-watch|kv-range|kv-lease|op/config|HICKORYSHORE_BOOT'
if grep -rnE "$names" include src fakes bench examples; then
    echo "names of the users' platform must not be used outside platform/" >&2
    status=1
fi
exit $status
