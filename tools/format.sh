#!/usr/bin/env bash
# Formats all sources in place; with --check only reports what differs and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | xargs -r clang-format "${mode[@]}"
