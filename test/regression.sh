#!/bin/sh
# Plays the light days of the deployments now in force, one after another, and prints their worth against the figures
# that were last committed in test/regression.txt.
#
#   sh test/regression.sh BENCH FOLDER [--update]
#
# BENCH is the users' bench, FOLDER the folder with their pages. With --update the figures become the committed ones.
set -eu
if [ $# -lt 2 ]; then
    echo "regression: usage: sh test/regression.sh BENCH FOLDER [--update]" >&2
    exit 2
fi
bench=$1 folder=$2 update=${3:-}
figures=$(dirname "$0")/regression.txt
sites="shifted/hladnapot-ops-now-grown demands/kla-line-grown demands/vc-urmarire-grown large/hladnapot-ops-large grown/ccbac-sched-grown grown/hladnapot-ops-grown further/gpw-tt further-grown/gpw-tt-grown"
output=$(mktemp)
table=$(mktemp)
trap 'rm -f "$output" "$table"' EXIT
for site in $sites; do
    "$bench" score "$folder/$site.toml" --quick --jobs 3 --why "regression" >"$output" 2>&1 || true
    gate=$(sed -n 's/^GATE //p' "$output")
    awk -v site="$site" -v gate="${gate:-not played}" '
        /^day /            { inside = 1; next }
        /^fresh-/          { next }
        inside && NF > 6   { print site, $1, $4, gate }
    ' "$output" >>"$table"
done
printf '%-32s %-10s %8s %8s %s\n' site day before now gate
while read -r site day worth gate; do
    before=$(awk -v site="$site" -v day="$day" '$1 == site && $2 == day { print $3 }' "$figures" 2>/dev/null || true)
    printf '%-32s %-10s %8s %8s %s\n' "$site" "$day" "${before:--}" "$worth" "$gate"
done <"$table"
if [ "$update" = --update ]; then
    awk '{ print $1, $2, $3 }' "$table" >"$figures"
fi
! grep -qv ' passed$' "$table"
