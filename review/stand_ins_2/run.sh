#!/usr/bin/env bash
# Runs the case whose folder is given: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
command=$(sed -nE 's/^run *= *"(.*)"/\1/p' deploy/system.toml | head -1)
if [ ! -x target/review-2/play ] || [ ! -x "${command%% *}" ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The command's words are split at spaces, as the deploy file says.
timeout -k 2 "${LIMIT_S:-115}" target/review-2/play "$(basename "$case_folder")" "$case_folder" "$folder" $command
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
[ "$status" -le 2 ] || status=2
exit "$status"
