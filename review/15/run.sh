#!/usr/bin/env bash
# Two VMs stand still while the configuration names other shards.
cd "$(dirname "$0")/../.."
program=target/review-3/regress
if [ ! -x "$program" ]; then
    echo "$program is missing: run review/build-3.sh" >&2
    exit 2
fi
exec "$program" review/15
