#!/bin/sh
# Kills daemons of a cluster of real processes with SIGKILL while callers send requests, one after the other, and
# restarts each. The load command checks with the stand-in endpoints which requests ran. Takes about 30 s.
# Usage: crash_check.sh BINARY [DAEMON-TO-KILL ...]
set -eu
binary=$1
shift
victims=${*:-north-1 south-2}
. "$(dirname "$0")/cluster.sh"

start_cluster
sleep 2
"$binary" load --entry "$entries" --homes north,south,west --service callout --rate 80 \
	--idempotent 0.3 --duration 25s --json >"$folder/load.json" 2>"$folder/load.err" &
load=$!
pids="$pids $load"
for victim in $victims; do
	sleep 5
	echo "killing $victim"
	kill -9 "$(pid_of "$victim")"
	sleep 4
	echo "restarting $victim"
	serve "$victim"
done
status=0
wait "$load" || status=$?
cat "$folder/load.json" "$folder/load.err"
"$binary" status --entry "$entries" --timeout 10s
"$binary" manifest show --entry "$entries" | cmp - "$folder/manifest.yaml"
exit $status
