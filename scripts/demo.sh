#!/usr/bin/env bash
# Starts the platform stand-in and three instances, each with a daemon and a backend server,
# as separate processes; edits the catalogue, sends requests and stops an instance. Then
# does the same for HTTP with three routers, each beside a backend server, and the routes in
# the catalogue.
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

echo "== sending a request to daemon 2 as plain HTTP with JSON"
curl --silent --show-error --fail-with-body --header 'Content-Type: application/json' \
  --data '{"service": "booking", "key": "clinic-1", "method": "get", "idempotent": true}' \
  http://127.0.0.1:7402/basilway.v1.RouterService/Call
echo

echo "== stopping daemon 3, which hands its keys over to the others first"
kill -TERM "${pids[5]}"
wait "${pids[5]}" && echo "daemon 3 ended with exit code 0"
basilway owners booking | awk 'NR>1 {count[$4]++} END {for (i in count) print i, "owns", count[i], "units"}' | sort

echo
echo "== starting three HTTP routers, each beside a backend server"
for i in 1 2 3; do
  start "http-backend-$i" bin/standin http-backend --listen "127.0.0.1:751$i" --id "backend-$i" --service shop --announce "http://127.0.0.1:743$i"
  if ((i == 2)); then leaving_pid=$last_pid; fi
  start "router-$i" bin/basilwayd router --instance "router-$i" --zone "demo/zone-$i" --service shop --backend "127.0.0.1:751$i" \
    --listen "127.0.0.1:741$i" --ready-listen "127.0.0.1:742$i" --announce-listen "127.0.0.1:743$i" --peer-listen "127.0.0.1:744$i" \
    --platform-url http://127.0.0.1:7399
done

echo "== applying routes to the catalogue"
cat >"$out/routes.json" <<'END'
{
  "services": [{"name": "shop", "sharded": true, "health_path": "/health"}],
  "routes": [{"name": "orders", "host": "shop.example", "prefix": "/orders/", "kind": "non_idempotent",
    "timeout_ms": 2000, "target_ms": 500, "max_attempts": 2, "parts": [{"service": "shop", "weight": 1}]}],
  "limits": {"header_bytes": 16384}
}
END
bin/basilway routes diff "$out/routes.json"
bin/basilway routes apply "$out/routes.json"

order() {
  curl --silent --show-error --fail --max-time 2 --header 'Host: shop.example' --header "Basilway-Key: $1" \
    --header "Basilway-Request-Id: order-$1" --data 'two towels' "http://127.0.0.1:7411/orders/$1"
}
all_keys() { for key in 100 20000 40000 60000; do order $key || return 1; done; }
wait_for 30 all_keys
echo "== sending requests to router 1"
for key in 100 12000 24000 36000 48000 60000; do
  echo -n "key $key: "
  order $key
done

echo "== stopping backend server 2; its keys move to the others first"
kill -TERM "$leaving_pid"
wait "$leaving_pid" && echo "backend server 2 ended with exit code 0"
wait_for 20 all_keys
for key in 100 12000 24000 36000 48000 60000; do
  echo -n "key $key: "
  order $key
done
