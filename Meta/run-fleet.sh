#!/usr/bin/env bash
# Runs a small fleet on loopback addresses until Ctrl-C: six daemons in three
# failure domains, three of them control members with data folders, and fake
# upstreams of three services. Prints example commands.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="${JAYBRIDGE_BUILD_FOLDER:-build}"
DAEMON="$BUILD/Services/jaybridged/jaybridged"
TOOL="$BUILD/Utilities/jaybridge/jaybridge"
UPSTREAM="$BUILD/Tests/Fakes/fake-upstream"
DOMAINS=(shah-alam petaling-jaya klang-utara)
FOLDER="$(mktemp -d)"
PROCESSES=()

stop_fleet() {
  trap - EXIT INT TERM
  echo "stopping"
  # Upstreams and daemons drain on SIGTERM.
  for id in "${PROCESSES[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
  for id in "${PROCESSES[@]}"; do wait "$id" 2>/dev/null || true; done
  rm -r "$FOLDER"
  exit 0
}
trap stop_fleet EXIT INT TERM

umask 077
for name in operator announce peer; do
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$FOLDER/$name.token"
done

# Prints the addresses of one kind (callers, operators, announcements or peers)
# of all daemons, separated by commas.
addresses() {
  sed -n "s/^$1=//p" "$FOLDER"/*.addresses 2>/dev/null | paste -sd, -
}

start_daemon() { # ID DOMAIN ADDRESS [FLAG...]
  local id=$1 domain=$2 address=$3
  shift 3
  "$DAEMON" --member-id="$id" --failure-domain="$domain" \
    --caller-address="$address:0" --announce-address="$address:0" \
    --operator-address="$address:0" --peer-address="$address:0" \
    --seeds="$(addresses peers)" --control-members=c0,c1,c2 \
    --operator-token-file="$FOLDER/operator.token" \
    --announce-token-file="$FOLDER/announce.token" \
    --peer-token-file="$FOLDER/peer.token" \
    --address-file="$FOLDER/$id.addresses" "$@" 2>>"$FOLDER/$id.log" &
  PROCESSES+=($!)
  until [ -s "$FOLDER/$id.addresses" ]; do
    kill -0 $! 2>/dev/null || { cat "$FOLDER/$id.log"; exit 1; }
    sleep 0.1
  done
}

start_upstreams() { # SERVICE COUNT NETWORK
  local i
  for ((i = 0; i < $2; ++i)); do
    "$UPSTREAM" --instance="$1-$i" --service="$1" --slots=4 \
      --failure-domain="${DOMAINS[i % 3]}" \
      --address="127.1.$((i % 3 + 1)).$(($3 + i)):0" \
      --announce="$(addresses announcements)" \
      --token_file="$FOLDER/announce.token" >>"$FOLDER/upstreams.log" 2>&1 &
    PROCESSES+=($!)
  done
}

tool() {
  "$TOOL" --daemon="$(addresses operators)" --token_file="$FOLDER/operator.token" "$@"
}

for i in 0 1 2; do
  start_daemon "c$i" "${DOMAINS[i]}" "127.1.$((i + 1)).1" --data-folder="$FOLDER/c$i.data"
done
for i in 0 1 2; do
  start_daemon "g$i" "${DOMAINS[i]}" "127.1.$((i + 1)).2"
done
start_upstreams status-giliran 7 20
start_upstreams pengeluar-tiket 12 50
start_upstreams paparan-dewan 14 80

# Waits until the control members have elected a leader.
until tool profile list >/dev/null 2>&1; do sleep 0.2; done
tool profile create status --repeatable --patience_ms=2000 --floor_percent=70 \
  --class_weight=2 --hedging --false_ejection_rate=0.01 --missed_detection_rate=0.01
tool profile create ticket --patience_ms=5000 --floor_percent=70 --class_weight=4 \
  --false_ejection_rate=0.01 --missed_detection_rate=0.01
tool profile create display --repeatable --patience_ms=1000 --floor_percent=60
tool service assign status-giliran --profile=status
tool service assign pengeluar-tiket --profile=ticket
tool service assign paparan-dewan --profile=display

CALLERS="$(sed -n 's/^callers=//p' "$FOLDER/g0.addresses")"
until curl -sf "http://$CALLERS/status-giliran/queue" >/dev/null &&
  curl -sf "http://$CALLERS/paparan-dewan/hall" >/dev/null; do sleep 0.2; done

cat <<TEXT

The fleet serves. Try, from another terminal in this folder:

  curl -i http://$CALLERS/status-giliran/queue?hall=3
  curl -i -X POST -d 'counter 4' http://$CALLERS/pengeluar-tiket/tickets
  curl -i -X POST -d 'counter 4' -H "Idempotency-Key: $(tool key)" http://$CALLERS/pengeluar-tiket/tickets
  $TOOL --daemon=$(addresses operators | cut -d, -f1) --token_file=$FOLDER/operator.token status
  $TOOL --daemon=$(addresses operators | cut -d, -f1) --token_file=$FOLDER/operator.token audit
  $TOOL --daemon=$(addresses operators | cut -d, -f1) --token_file=$FOLDER/operator.token trace REQUEST_ID

Logs are in $FOLDER. Ctrl-C stops the fleet.
TEXT
wait
