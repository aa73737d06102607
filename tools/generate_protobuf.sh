#!/usr/bin/env bash
# Generates the committed protobuf sources from proto/*.proto; run it after each change there.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/hickoryshore/wire/generated proto/*.proto
