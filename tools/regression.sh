#!/usr/bin/env bash
# Plays the standard days of deployments on the users' bench, hunts on each, and prints one table.
# Usage: tools/regression.sh BENCH FOLDER WHY
# BENCH is the bench's program, FOLDER holds the deployments, WHY goes into the journal. SITES names others than the
# regression's, as paths below FOLDER; JOBS is the number of days played at a time. The logs stay in target/regression/.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$(realpath "${1:?the program of the bench}")
folder=$(realpath "${2:?the folder of the deployments}")
why=${3:?why it is run}
jobs=${JOBS:-3}
sites=${SITES:-large/quispe-tableros-large further/dlrc-search further-grown/dlrc-search-grown
    grown/quispe-tableros-grown grown/csrm-grown}
# Days to hunt, and fewer where a day has many VMs.
days=40
days_of_large=8
many_vms=60
logs=target/regression
mkdir -p "$logs"

# Prints the VMs of the deployment, the gate, the score and the mean worth of the days with trouble, from a score's log.
summary() {
    awk '/^score on/ { sub(/.*\): /, ""); score = $1 + 0 }
         /^GATE/ { gate = $2 }
         $2 !~ /^[0-9]+\/[0-9]+$/ { next }
         /^(quiet|trouble|scale)-[0-9]/ { split($2, own, "/"); vms = own[1] }
         /^(trouble|scale)-[0-9]/ { sum += $4; ++count; if (worst == "" || $4 < worst) { worst = $4; day = $1 } }
         END { if (gate == "") { gate = "not-run" }
               printf "%s %s %.3f %.3f %s:%s\n", vms, gate, score, count ? sum / count : 0, day, worst }' "$1"
}

printf '%-36s %-8s %-6s %-16s %-18s %s\n' deployment gate score 'worth, trouble' 'worst day' hunt
failed=0
for site in $sites; do
    name=$(basename "$site")
    score=$logs/$name-score.txt
    hunt=$logs/$name-hunt.txt
    "$bench" score "$folder/$site.toml" --jobs "$jobs" --why "$why" >"$score" 2>&1 || failed=1
    read -r vms gate points worth worst < <(summary "$score")
    hunted=$days
    [ "${vms:-0}" -ge "$many_vms" ] && hunted=$days_of_large
    "$bench" hunt "$folder/$site.toml" --days "$hunted" --jobs "$jobs" --why "$why" >"$hunt" 2>&1 || failed=1
    [ "$gate" = passed ] || failed=1
    printf '%-36s %-8s %-6s %-16s %-18s %s\n' "$name" "$gate" "$points" "$worth" "$worst" \
        "$(grep -iE 'rule|broke|hunted' "$hunt" | tail -n 1 || echo "see $hunt")"
done
exit "$failed"
