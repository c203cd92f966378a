# Functions for scripts that run a cluster of six daemons, nine endpoints and twelve workers as processes on loopback.
# Needs $binary. Sets $folder, $entries and $pids. Kills the processes that it started when the script exits.
# KEEP=1 keeps $folder with the logs; BASE_PORT is the base of the port numbers.
folder=$(mktemp -d)
pids=""
base=${BASE_PORT:-17400}
found=""
entries=""

cleanup() {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null || true; done
	if [ -n "${KEEP:-}" ]; then echo "logs are in $folder"; else rm -rf "$folder"; fi
}
trap cleanup EXIT INT TERM

# each_daemon prints a line "NAME NUMBER" for each daemon.
each_daemon() {
	n=0
	for domain in north south west; do
		for i in 1 2; do
			n=$((n + 1))
			echo "$domain-$i $n"
		done
	done
}

# number_of prints the number of a daemon.
number_of() { each_daemon | sed -n "s/^$1 //p"; }

# pid_of prints the process id of a daemon.
pid_of() { cat "$folder/$1.pid"; }

# serve starts a daemon. --found is ignored by a daemon that already belongs to a cluster.
serve() {
	n=$(number_of "$1")
	"$binary" serve --name "$1" --failure-domain "${1%-*}" --data-dir "$folder/$1" \
		--listen-peer "127.0.0.1:$((base + n))" --listen-http "127.0.0.1:$((base + 100 + n))" \
		--found "$found" --log-sample 0 >>"$folder/$1.log" 2>&1 &
	echo $! >"$folder/$1.pid"
	pids="$pids $!"
}

# start_cluster starts all processes and commits a manifest.
start_cluster() {
	for n in 1 2 3 4 5 6; do entries="$entries,127.0.0.1:$((base + 100 + n))"; done
	entries=${entries#,}
	found=$(each_daemon | while read -r name n; do printf ',%s@%s@127.0.0.1:%d' "$name" "${name%-*}" $((base + n)); done)
	found=${found#,}
	for name in $(each_daemon | cut -d' ' -f1); do serve "$name"; done
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
}
