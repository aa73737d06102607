#!/usr/bin/env bash
# Functions to start stand-ins and VMs on loopback addresses; sourced by demo.sh and the benchmarks, not run itself.
# Everything started is ended, by its id, when the sourcing script exits.

folder=$(mktemp -d)
pids=()

end_all() {
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    [ ${#pids[@]} -eq 0 ] || wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: starts a process in the background; its log goes to the folder.
start() {
    local name=$1
    shift
    "$@" >/dev/null 2>"$folder/$name.log" </dev/null &
    pids+=($!)
}

# start_platform PORT
start_platform() {
    start platform build/fakes/hickoryshore-fake-platform --address=127.0.0.1 --port="$1"
}

# start_replica PORT [FLAG...]
start_replica() {
    start "replica-$1" build/fakes/hickoryshore-fake-upstream --address=127.0.0.1 --port="$1" --threads=32 "${@:2}"
}

# start_vm NUMBER DATA_CENTRE REGION PLATFORM_PORT: a VM at 127.0.1.NUMBER, with 127.0.1.1 as its seed;
# `caller_threads` and `more_settings`, such as '"logLevel": "warn",', may be set.
start_vm() {
    cat >"$folder/vm-$1.json" <<JSON
{
    // docs/SETTINGS.md lists all keys.
    "vm": "vm-$1", "dataCentre": "$2", "region": "$3",
    "address": "127.0.1.$1", "httpPort": 18001, "peerPort": 18002, "membershipPort": 18003,
    "platform": {"address": "127.0.0.1", "port": $4},
    ${more_settings:-} "seeds": ["127.0.1.1:18003"], "callerThreads": ${caller_threads:-512},
    "entryPointsTimeToLiveMs": 500, "shutdownLimitMs": 6000
}
JSON
    start "vm-$1" build/src/hickoryshore/daemon/hickoryshored --settings="$folder/vm-$1.json"
}

# wait_for_vm NUMBER: waits until the VM answers.
wait_for_vm() {
    curl -s -o /dev/null --retry 100 --retry-connrefused --retry-delay 1 "http://127.0.1.$1:18001/v1/status"
}
