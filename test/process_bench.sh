#!/bin/sh
# Measures the CPU time, resident memory and bytes sent to peers of each daemon of a cluster of real processes, idle and
# under load. Takes about 50 s.
# Usage: process_bench.sh BINARY [REQUESTS-PER-SECOND]
set -eu
binary=$1
rate=${2:-200}
span=15
. "$(dirname "$0")/cluster.sh"

peer_bytes() {
	n=$(number_of "$1")
	"$binary" metrics --entry "127.0.0.1:$((base + 100 + n))" | sed -n 's/^pimentoswitch_peer_bytes_sent //p'
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$(pid_of "$1")/stat"; }

# sample prints a line "NAME CPU-TICKS PEER-BYTES" for each daemon.
sample() {
	for name in $(each_daemon | cut -d' ' -f1); do
		echo "$name $(cpu_ticks "$name") $(peer_bytes "$name")"
	done
}

# compare takes two samples, $span seconds apart, and prints the usage between them. Its argument names the phase.
compare() {
	ticks=$(getconf CLK_TCK)
	printf '%-10s %-8s %12s %14s %18s\n' phase daemon "core-percent" "resident-mb" "peer-bytes-per-s"
	sample >"$folder/before"
	sleep "$span"
	sample >"$folder/after"
	paste -d' ' "$folder/before" "$folder/after" | while read -r name c0 b0 _ c1 b1; do
		resident=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/$(pid_of "$name")/status")
		awk -v p="$1" -v n="$name" -v c=$((c1 - c0)) -v t="$ticks" -v s="$span" -v b0="$b0" -v b1="$b1" -v r="$resident" \
			'BEGIN {printf "%-10s %-8s %12.1f %14.1f %18.0f\n", p, n, 100 * c / t / s, r, (b1 - b0) / s}'
	done
}

start_cluster
sleep 12
compare idle
"$binary" load --entry "$entries" --homes north,south,west --service callout --rate "$rate" \
	--idempotent 0.5 --duration $((span + 6))s >"$folder/load.txt" 2>&1 &
load=$!
pids="$pids $load"
sleep 3
compare loaded
wait "$load" || true
cat "$folder/load.txt"
