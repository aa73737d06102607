#!/usr/bin/env bash
# Prints, from JSON-lines logs of entry VMs, how many answers were not whole: by result, route and what held up the first
# part that is missing, and by two seconds of the time of day.
# Usage: tools/answer_table.sh LOG...
set -euo pipefail
[ $# -gt 0 ] || { sed -n '2,4p' "$0" >&2; exit 2; }
# Prints the value of a field of the line, or a dash.
lines() {
    grep -hoE '\{"time".*"event":"(answered|aggregated|refused)".*' "$@" | grep -v '"result":"ok"' || true
}
lines "$@" | awk '
    function field(name,   at, rest) {
        at = index($0, "\"" name "\":\"")
        if (at == 0) { return "-" }
        rest = substr($0, at + length(name) + 4)
        return substr(rest, 1, index(rest, "\"") - 1)
    }
    {
        held = field("missed"); sub(/ .*/, "", held); sub(/.*=/, "", held)
        if (held == "") { held = "-" }
        time = field("time"); second = substr(time, 12, 8)
        split(second, part, ":"); part[3] -= part[3] % 2
        ++causes[field("event") " " field("result") " " field("route") " " held]
        ++windows[sprintf("%s:%s:%02d %s", part[1], part[2], part[3], field("result"))]
    }
    END {
        print "answers that were not whole: event, result, route, first missing part"
        for (key in causes) { printf "%7d  %s\n", causes[key], key | "sort -rn" }
        close("sort -rn")
        print "by two seconds"
        for (key in windows) { printf "  %s %d\n", key, windows[key] | "sort" }
    }'
