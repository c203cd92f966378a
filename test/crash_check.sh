#!/bin/sh
# Kills one daemon of a three-domain set of real processes with SIGKILL while callers
# send, starts it again, and asks the stand-in endpoints what ran. Takes about 40 s.
# Usage: crash_check.sh BINARY [DAEMON-TO-KILL ...]
set -eu
binary=$1
shift
victims=${*:-north-1 south-2}
folder=$(mktemp -d)
pids=""
cleanup() {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null || true; done
	if [ -n "${KEEP:-}" ]; then echo "logs are in $folder"; else rm -rf "$folder"; fi
}
trap cleanup EXIT INT TERM

base=${BASE_PORT:-17400}
found=""
entries=""
number=0
for domain in north south west; do
	for i in 1 2; do
		number=$((number + 1))
		found="$found,$domain-$i@$domain@127.0.0.1:$((base + number))"
		entries="$entries,127.0.0.1:$((base + 100 + number))"
	done
done
found=${found#,}
entries=${entries#,}

port_of() {
	number=0
	for d in north south west; do
		for i in 1 2; do
			number=$((number + 1))
			if [ "$d-$i" = "$1" ]; then echo "$number"; fi
		done
	done
}

serve() {
	n=$(port_of "$1")
	"$binary" serve --name "$1" --failure-domain "${1%-*}" --data-dir "$folder/$1" \
		--listen-peer "127.0.0.1:$((base + n))" --listen-http "127.0.0.1:$((base + 100 + n))" \
		--found "$found" --log-sample 0 >>"$folder/$1.log" 2>&1 &
	eval "pid_$(echo "$1" | tr - _)=$!"
	pids="$pids $!"
}

for domain in north south west; do
	for i in 1 2; do serve "$domain-$i"; done
done
for domain in north south west; do
	"$binary" standin endpoint --failure-domain "$domain" --prefix callout --service callout \
		--count 3 --work 20ms --entry "$entries" >"$folder/endpoint-$domain.log" 2>&1 &
	pids="$pids $!"
	"$binary" standin worker --failure-domain "$domain" --prefix worker --count 4 \
		--entry "$entries" >"$folder/worker-$domain.log" 2>&1 &
	pids="$pids $!"
done

cat >"$folder/manifest.yaml" <<'YAML'
number: 1
teams: [{name: load}]
services:
  - {name: callout, replicas: 3, team: load, idempotent: false, needs: {cpu-millis: 1000, memory-mb: 512}}
batch-jobs:
  - {name: quotes, tasks: 300, team: load, run-time: 2s, checkpoint: true, needs: {cpu-millis: 4000, memory-mb: 4096}}
YAML
"$binary" manifest commit "$folder/manifest.yaml" --entry "$entries" --timeout 30s
sleep 2

"$binary" load --entry "$entries" --homes north,south,west --service callout --rate 80 \
	--idempotent 0.3 --duration 25s --json >"$folder/load.json" 2>"$folder/load.err" &
load=$!
pids="$pids $load"
for victim in $victims; do
	sleep 5
	eval "pid=\$pid_$(echo "$victim" | tr - _)"
	echo "killing $victim"
	kill -9 "$pid"
	sleep 4
	echo "starting $victim again"
	serve "$victim"
done
status=0
wait "$load" || status=$?
cat "$folder/load.json" "$folder/load.err"
"$binary" status --entry "$entries" --timeout 10s
"$binary" manifest show --entry "$entries" | cmp - "$folder/manifest.yaml"
exit $status
