#!/usr/bin/env bash
# Starts the platform stand-in and three instances, each a daemon and a backend
# server, as separate processes; edits the catalogue, sends requests and stops all.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT

echo "== starting the platform stand-in and three instances"
start platform bin/standin platform --listen 127.0.0.1:7399
for i in 1 2 3; do start_instance "$i" booking; done

basilway() { bin/basilway --daemon http://127.0.0.1:7401 "$@"; }
wait_for 30 basilway status

echo "== applying a catalogue entry"
echo '{"service": "booking", "owner": "hinokuni", "class": "critical"}' >"$out/entry.json"
wait_for 20 basilway catalogue apply "$out/entry.json"
basilway catalogue get

wait_for 30 owns_all 3 booking
echo "== sending requests to daemon 1"
for key in clinic-1 clinic-2 clinic-3 care-home-4 care-home-5; do
  echo -n "$key: "
  basilway call booking "$key" add --payload 1 | tr '\n' ' '
  echo
done

echo "== the same by plain HTTP with JSON, to daemon 2"
curl --silent --show-error --fail-with-body --header 'Content-Type: application/json' \
  --data '{"service": "booking", "key": "clinic-1", "method": "get", "idempotent": true}' \
  http://127.0.0.1:7402/basilway.v1.RouterService/Call
echo

echo "== stopping daemon 3; its keys move to the others first"
kill -TERM "${pids[5]}"
wait "${pids[5]}" && echo "daemon 3 ended with exit code 0"
basilway owners booking | awk 'NR>1 {count[$4]++} END {for (i in count) print i, "owns", count[i], "units"}' | sort
