#!/usr/bin/env bash
# Measures what the cluster state costs a daemon: resident memory, heap, processor time and
# open connections. SIZES lists the numbers of members to measure with; these members are
# recorded in the cluster state but do not run. SETTLE is the number of seconds before each
# measurement.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

ticks=$(getconf CLK_TCK)
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
metric() { curl --silent http://127.0.0.1:7401/metrics | awk -v name="$1" '$1 == name {print $2}'; }

echo "| members | resident MB | heap in use MB | processor % | open connections |"
echo "| --- | --- | --- | --- | --- |"
for size in ${SIZES:-4 100 500 1000 1900}; do
  start platform bin/standin platform --listen 127.0.0.1:7399
  wait_for 10 curl --silent http://127.0.0.1:7399/
  bin/benchperf fill --members "$size"
  start_instance 1 booking
  wait_for 30 curl --silent --fail http://127.0.0.1:7401/readyz
  sleep "${SETTLE:-20}"
  before=$(cpu_ticks "$daemon_pid")
  sleep 10
  after=$(cpu_ticks "$daemon_pid")
  rss=$(awk '/^VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$daemon_pid/status")
  heap=$(metric go_memstats_heap_inuse_bytes | awk '{printf "%.1f", $1 / 1048576}')
  cpu=$(awk -v d=$((after - before)) -v t="$ticks" 'BEGIN {printf "%.2f", 100 * d / t / 10}')
  echo "| $size | $rss | $heap | $cpu | $(metric basilway_peer_connections) |"
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
done
