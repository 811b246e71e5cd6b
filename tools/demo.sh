#!/usr/bin/env bash
# Starts three hosts, two stages of a model and a plain service on loopback, sends four requests
# with the command-line tool and checks their outcomes. Usage: tools/demo.sh BUILD_FOLDER
set -uo pipefail
build=$(cd "$1" && pwd)
folder=$(mktemp -d)
pids=()

# Ends the processes; a second signal ends a host that is still draining.
cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    while kill -TERM "$pid" 2>/dev/null; do sleep 0.05; done
    wait "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap cleanup EXIT

# Prints free TCP ports; all sockets stay bound until the last port is chosen, so the ports differ.
free_ports() {
  /usr/bin/python3 - "$1" <<'PYTHON'
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets:
    s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in sockets])
PYTHON
}

read -r -a ports <<< "$(free_ports 15)"
address() { echo "127.0.0.1:${ports[$1]}"; }

head -c 32 /dev/urandom | base64 > "$folder/peer.key"
head -c 32 /dev/urandom | base64 > "$folder/operator.token"
chmod 600 "$folder/peer.key" "$folder/operator.token"

centres=(jo-south-a jo-south-b jo-south-c)
peer_settings() {
  local self=$1 other
  echo "peers:"
  for other in 0 1 2; do
    [ "$other" = "$self" ] && continue
    echo "  - {id: host-$other, address: \"$(address $((other * 4 + 3)))\"," \
      "caller: \"$(address $((other * 4)))\", data_centre: ${centres[$other]}, region: jo-south," \
      "control: true}"
  done
}

for host in 0 1 2; do
  mkdir "$folder/data-$host"
  {
    echo "host: {id: host-$host, data_centre: ${centres[$host]}, region: jo-south," \
      "roles: [entry, control], data_folder: $folder/data-$host}"
    echo "listeners: {caller: \"$(address $((host * 4)))\", upstream: \"$(address $((host * 4 + 1)))\"," \
      "admin: \"$(address $((host * 4 + 2)))\", peer: \"$(address $((host * 4 + 3)))\"}"
    peer_settings "$host"
    echo "security: {cluster: demo, peer_key_file: $folder/peer.key," \
      "operator_token_file: $folder/operator.token, upstream_networks: [127.0.0.0/8]}"
  } > "$folder/host-$host.yaml"
  "$build/src/foxquayd/foxquayd" --config "$folder/host-$host.yaml" > "$folder/host-$host.log" 2>&1 &
  pids+=($!)
done

listeners="$(address 1),$(address 5),$(address 9)"
fakes="$build/tests/fakes"
"$fakes/fake_model" --id stage-1 --listen "$(address 12)" --announce "$listeners" --model demo-llm \
  --first-layer 0 --last-layer 3 --model-layers 8 --data-centre jo-south-a \
  --log "$folder/stage-1.log" &
pids+=($!)
"$fakes/fake_model" --id stage-2 --listen "$(address 13)" --announce "$listeners" --model demo-llm \
  --first-layer 4 --last-layer 7 --model-layers 8 --data-centre jo-south-b \
  --log "$folder/stage-2.log" &
pids+=($!)
"$fakes/fake_service" --id desk-1 --listen "$(address 14)" --announce "$listeners" \
  --service orderdesk --data-centre jo-south-c --log "$folder/desk-1.log" &
pids+=($!)

send() {
  "$build/src/foxquay_cli/foxquay" send --entry "$(address 0),$(address 4),$(address 8)" \
    --workspace demo --timeout 10000 "$@"
}

# Waits until the model and the service answer requests without side effects.
await_ready() {
  local try
  for try in $(seq 100); do
    if send --model demo-llm --prompt ready --max-tokens 1 > /dev/null 2>&1 &&
      send --service orderdesk --path /ready --method GET > /dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  return 1
}

failures=0
# expect NAME STATUS ARGUMENTS...: sends a request and compares the exit status.
expect() {
  local name=$1 wanted=$2 status=0
  shift 2
  echo "== $name"
  send "$@" || status=$?
  if [ "$status" -ne "$wanted" ]; then
    echo "unexpected: exit status $status instead of $wanted"
    failures=$((failures + 1))
  fi
}

if ! await_ready; then
  echo "the hosts did not become ready:"
  cat "$folder"/host-*.log
  exit 1
fi

# Exit statuses of `foxquay send`: 0 complete, 3 not-run.
key="$(($(date +%s) + 3600)).demo-$$"
expect "streamed completion over two stages" 0 \
  --model demo-llm --prompt "shift summary" --max-tokens 12 --stream
expect "protected call" 0 \
  --service orderdesk --path /dispatches --body '{"order":7}' --no-repeat --key "$key"
expect "the same protected call again" 0 \
  --service orderdesk --path /dispatches --body '{"order":7}' --no-repeat --key "$key"
expect "refused request: unknown model" 3 --model no-such-model --prompt x

dispatches=$(grep -c /dispatches "$folder/desk-1.log")
echo "== the service ran the protected action $dispatches times"
[ "$dispatches" -eq 1 ] || failures=$((failures + 1))
[ "$failures" -eq 0 ] && echo "demo: every outcome was the expected one"
exit "$((failures > 0))"
