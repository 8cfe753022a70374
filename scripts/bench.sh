#!/usr/bin/env bash
# Measures throughput and latency of direct, owned and forwarded requests, goodput under
# overload and the cost of idle daemons, with separate processes on loopback. Results are
# written to out/.
#
# Usage: scripts/bench.sh [paths] [overload] [idle]; without arguments, runs all three.
# IDLE_SIZES lists the numbers of idle daemons; SETTLE is the number of seconds before they
# are measured. RAMP is the number of seconds before paths and overload are measured, and
# ROUNDS the number of measured rounds for each path.
set -euo pipefail
cd "$(dirname "$0")/.."
platform_port=21000 daemon_ports=21000 backend_ports=21500
source scripts/lib.sh
trap stop_all EXIT
results=$PWD/out
mkdir -p "$results"

# begin_stage starts a platform stand-in on new ports, so that connections left from the
# previous stage have no effect.
begin_stage() {
  platform_port=$((platform_port + 1000)) daemon_ports=$((daemon_ports + 1000)) backend_ports=$((backend_ports + 1000))
  start "platform-$platform_port" bin/standin platform --listen "127.0.0.1:$platform_port"
  wait_for 10 curl --silent "http://127.0.0.1:$platform_port/"
}

# end_stage kills the processes of a stage, without the handover of a graceful stop.
end_stage() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
  rm -f "$out"/*.log
}

daemon_url() { echo "http://127.0.0.1:$((daemon_ports + $1))"; }
backend_url() { echo "http://127.0.0.1:$((backend_ports + $1))"; }
apply_entry() {
  echo '{"service": "booking", "owner": "hinokuni", "class": "critical"}' >"$out/entry.json"
  wait_for 20 bin/basilway --daemon "$(daemon_url 1)" catalogue apply "$out/entry.json"
}
call_through() { bin/basilway --daemon "$(daemon_url "$1")" call booking clinic-1 echo --payload x; }
members_are() { curl --silent "$(daemon_url "$1")/metrics" | grep -qx "basilway_members $2"; }

bench_paths() {
  echo "== request paths" >&2
  begin_stage
  start_instance 1 booking --slots 64
  local owner_pid=$daemon_pid
  start daemon-2 env ${daemon_env:-} bin/basilwayd --instance instance-2 --zone demo/zone-2 --listen "127.0.0.1:$((daemon_ports + 2))" \
    --platform-url "http://127.0.0.1:$platform_port" --seeds "127.0.0.1:$((daemon_ports + 1))"
  local forwarder_pid=$last_pid
  apply_entry
  wait_for 30 call_through 1
  wait_for 30 call_through 2
  sleep "${RAMP:-20}" # the admission limit of a new backend server grows for some seconds
  bin/benchperf paths --backend "$(backend_url 1)" --owner "$(daemon_url 1)" --forwarder "$(daemon_url 2)" \
    --backend-pid "$backend_pid" --owner-pid "$owner_pid" --forwarder-pid "$forwarder_pid" \
    --rounds "${ROUNDS:-5}" --out "$results/paths.json"
  end_stage
}

bench_overload() {
  echo "== overload and freeze" >&2
  begin_stage
  start_instance 1 booking --slots 6 --service-time 10ms
  apply_entry
  wait_for 30 call_through 1
  sleep "${RAMP:-20}"
  bin/benchperf overload --daemon "$(daemon_url 1)" --backend "$(backend_url 1)" --out "$results/overload.json"
  end_stage
}

bench_idle() {
  local n=$1 i daemon_pids=() urls=()
  echo "== $n idle daemons" >&2
  begin_stage
  for ((i = 1; i <= n; i++)); do
    start_instance "$i" booking
    daemon_pids+=("$daemon_pid")
    urls+=("$(daemon_url "$i")")
    sleep 0.05
  done
  wait_for 60 members_are 1 "$n"
  wait_for 60 members_are "$n" "$n"
  sleep "${SETTLE:-20}"
  local list
  list=$(IFS=,; echo "${daemon_pids[*]}")
  bin/benchperf idle --pids "$list" --urls "$(IFS=,; echo "${urls[*]}")" \
    --store "http://127.0.0.1:$platform_port" --out "$results/idle-$n.json"
  end_stage
}

load_before=$(cut -d' ' -f1-3 /proc/loadavg)
stages=("$@")
if ((${#stages[@]} == 0)); then stages=(paths overload idle); fi
for stage in "${stages[@]}"; do
  case $stage in
    paths) bench_paths ;;
    overload) bench_overload ;;
    idle) for size in ${IDLE_SIZES:-3 10 30 100}; do bench_idle "$size"; done ;;
    *) echo "unknown stage: $stage" >&2; exit 2 ;;
  esac
done
bin/benchperf report --dir "$results" --commit "$(git describe --always --dirty)" \
  --load "$(nproc) processors, load average $load_before at the start and $(cut -d' ' -f1-3 /proc/loadavg) at the end"
