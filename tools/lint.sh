#!/usr/bin/env bash
# Runs clang-tidy over all sources of the build in build/, and the check of the module layers.
# With file names as arguments, only over those.
#
# A file that passed is not read again while nothing changes that its result depends on: itself, every header that it
# includes, its compile command, .clang-tidy and the version of clang-tidy. The results are kept in
# HICKORYSHORE_LINT_CACHE, or in the user's cache folder.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/check_layers.sh
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '\.pb\.' | grep -v '_fuzz\.cpp$')
fi
export LINT_CACHE=${HICKORYSHORE_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/hickoryshore-lint}
mkdir -p "$LINT_CACHE"
find "$LINT_CACHE" -type f -mtime +30 -delete
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints each compiled source with each file that its object depends on, as "SOURCE DEPENDENCY" from the root.
dependencies() {
    ninja -C build -t deps | awk '
        /: #deps/ { source = ""; next }
        /^    / { path = $1; sub(/^\.\.\//, "", path); if (source == "") { source = path } print source, path }' |
        sed "s|$PWD/||g" | sort -u
}

# Prints each compiled source with its compile command.
commands() {
    sed "s|$PWD|.|g" build/compile_commands.json | awk -F'"' '
        $2 == "command" { command = $0 }
        $2 == "file" { path = $4; sub(/^\.\//, "", path); print path, command }'
}

# Prints "SOURCE KEY" for each compiled source; the key stands for all that its result depends on.
keys() {
    dependencies >"$work/dependencies"
    commands >"$work/commands"
    (cd build && cut -d' ' -f2 "$work/dependencies" | sort -u | sed 's|^\([^/]\)|../\1|' | xargs sha256sum 2>/dev/null || true) |
        awk '{ sub(/^\.\.\//, "", $2); print $2, $1 }' >"$work/hashes"
    local settings
    settings=$({ clang-tidy --version; cat .clang-tidy "$0"; } | sha256sum | cut -d' ' -f1)
    awk -v settings="$settings" -v hashes="$work/hashes" -v commands="$work/commands" '
        BEGIN { while ((getline line < hashes) > 0) { split(line, field, " "); hash[field[1]] = field[2] }
                while ((getline line < commands) > 0) { split(line, field, " "); text[field[1]] = settings " " line } }
        $1 in text { text[$1] = text[$1] " " $2 "=" hash[$2]; known[$1] = 1 }
        END { for (source in known) { print source "\t" text[source] } }' "$work/dependencies" |
        while IFS=$'\t' read -r source text; do
            echo "$source $(sha256sum <<<"$text" | cut -d' ' -f1)"
        done
}

# Lints "FILE KEY"; a file without a key is always read.
lint_file() {
    local file=${1%% *} key=${1#* }
    if [ "$key" != none ] && [ -e "$LINT_CACHE/$key" ]; then
        return 0
    fi
    clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option "$file" || return 1
    [ "$key" = none ] || touch "$LINT_CACHE/$key"
}
export -f lint_file

keys >"$work/keys"
printf '%s\n' "${files[@]}" |
    awk -v keys="$work/keys" '
        BEGIN { while ((getline line < keys) > 0) { split(line, field, " "); key[field[1]] = field[2] } }
        { print $1, ($1 in key ? key[$1] : "none") }' >"$work/files"
echo "lint: ${#files[@]} files, $(cut -d' ' -f2 "$work/files" | sort -u | while read -r key; do
    if [ -e "$LINT_CACHE/$key" ]; then echo "$key"; fi
done | wc -l) unchanged since they passed"
xargs -P "$(nproc)" -d '\n' -n 1 bash -c 'lint_file "$1"' lint <"$work/files" 2> >(grep -vE "warnings? generated" >&2)
