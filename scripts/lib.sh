# Functions for scripts that start daemons and stand-ins as separate processes. The scripts
# source this file; it expects bash with set -euo pipefail.

# Default ports. A script that runs at the same time as others sets its own before it sources
# this file.
: "${platform_port:=7399}" "${daemon_ports:=7400}" "${backend_ports:=7500}"

pids=()
out=$(mktemp -d)

# start NAME COMMAND... runs a command in the background and writes its output to
# $out/NAME.log. It sets last_pid.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

# stop_all stops all processes that start has started, newest first, and waits for them.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$out"
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds. It fails after SECONDS.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then
      echo "timed out: $*" >&2
      tail -n 5 "$out"/*.log >&2 || true
      return 1
    fi
    sleep 0.1
  done
}

# start_instance I SERVICE [BACKEND FLAGS...] starts daemon I on port daemon_ports+I and its
# backend server on port backend_ports+I, in availability zone demo/zone-(I mod 3). It sets
# daemon_pid and backend_pid. daemon_env, if set, is a list of NAME=VALUE for the daemon.
start_instance() {
  local i=$1 service=$2
  shift 2
  local seeds=()
  if ((i > 1)); then seeds=(--seeds 127.0.0.1:$((daemon_ports + 1))); fi
  start "daemon-$i" env ${daemon_env:-} bin/basilwayd --instance "instance-$i" --zone "demo/zone-$((i % 3))" \
    --listen "127.0.0.1:$((daemon_ports + i))" --platform-url http://127.0.0.1:$platform_port "${seeds[@]}"
  daemon_pid=$last_pid
  start "backend-$i" bin/standin backend --listen "127.0.0.1:$((backend_ports + i))" --service "$service" \
    --announce "http://127.0.0.1:$((daemon_ports + i))" "$@"
  backend_pid=$last_pid
}

# owns_all N SERVICE succeeds when at least N instances own keys of the service.
owns_all() {
  local owners
  owners=$(bin/basilway --daemon http://127.0.0.1:$((daemon_ports + 1)) owners "$2" | awk 'NR>1 && $4!="" {print $4}' | sort -u | wc -l)
  ((owners >= $1))
}
