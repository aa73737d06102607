#!/usr/bin/env bash
# The main job with stand-ins, on a fresh machine: installs the packages, builds, starts the stand-ins and three VMs,
# publishes examples/small, queries, stops replicas and queries again, and ends all that it started.
# With --stay, leaves everything up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install.sh
./tools/build.sh build

source tools/local_fleet.sh

ctl=build/src/hickoryshore/ctl/hickoryctl
platform=127.0.0.1:19000

echo "== Stand-ins: the platform's service on $platform, 12 replicas on 127.0.0.1:19101 and following"
start_platform 19000
for port in 1910{1..8} 1911{1..4}; do
    start_replica "$port"
    declare "replica_$port=$!"
done

echo "== Three VMs: http://127.0.1.1:18001, http://127.0.1.2:18001, http://127.0.1.3:18001"
start_vm 1 lima-callao lima 19000
start_vm 2 arequipa-cercado arequipa 19000
start_vm 3 cusco-wanchaq cusco 19000
for number in 1 2 3; do
    wait_for_vm "$number"
done

echo "== hickoryctl check and apply examples/small"
"$ctl" check examples/small
"$ctl" apply examples/small --wait --platform=$platform --vm=127.0.1.1:18001
"$ctl" status --vm=127.0.1.1:18001

echo "== A query: every shard is covered"
"$ctl" query tablero-vivo "stop 7" --caller=boards --vm=127.0.1.1:18001

echo "== One replica is stopped: the other replica of its shard answers"
kill "$replica_19101"
"$ctl" query tablero-vivo "stop 7" --caller=boards --vm=127.0.1.2:18001

echo "== Both replicas of one shard are stopped: an honest partial answer that names the missed shard"
kill "$replica_19102"
"$ctl" query tablero-vivo "stop 7" --caller=boards --vm=127.0.1.3:18001 || true

echo "== A charge, sent twice with one id to two VMs: it runs once"
issued=$(date +%s%3N)
charge="{\"requestId\":\"charge-1\",\"caller\":\"stewards\",\"query\":\"room 7\",\"idempotent\":false,\"issuedAtMs\":$issued}"
for number in 1 2; do
    curl -s -d "$charge" "http://127.0.1.$number:18001/v1/indexes/guest-billing/query"
    echo
    sleep 0.2
done
echo "Executions of charge-1 at the two replicas of shard 00:" \
    "$(curl -s http://127.0.0.1:19111/v1/executions http://127.0.0.1:19112/v1/executions | grep -c charge-1)"

if [ "${1:-}" = --stay ]; then
    echo "== Up until interrupted. Callers: POST http://127.0.1.1:18001/v1/indexes/tablero-vivo/query"
    echo "   Metrics: http://127.0.1.1:18001/metrics  Logs: $folder"
    while true; do sleep 1; done
fi
echo "== Ending all that was started"
