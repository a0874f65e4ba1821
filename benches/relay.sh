#!/usr/bin/env bash
# Measures the whole path as separate processes on the loopback address: what a daemon adds to the
# first token, and its processor time and memory, against the engine alone and a relay without
# decisions. Usage: benches/relay.sh [RATE [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-77}
seconds=${2:-45}
cargo build --release --quiet
bin=target/release
out=$(mktemp -d)
pids=()
finish() { kill "${pids[@]}" 2>/dev/null || true; rm -rf "$out"; }
trap finish EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" > "$out/$name" 2> "$out/$name.log" &
  pids+=($!)
  for _ in $(seq 100); do
    grep -q . "$out/$name" && break
    sleep 0.05
  done
}
addr() { sed -n 's/listening on //p' "$out/$1"; }

start log $bin/comfreymux-standin log
start hosts $bin/comfreymux-standin hosts --entry d1=a=127.0.0.1:17081
start engine $bin/comfreymux-standin engine --id e1 --centre a --hosts "$(addr hosts)" \
  --gap-ms 65 --slots 5000
start relay $bin/comfreymux-standin relay --to "$(addr engine)"
relay=${pids[-1]}
$bin/comfreymuxd --id d1 --centre a --listen 127.0.0.1:17080 --peer 127.0.0.1:17081 \
  --log "http://$(addr log)" --hosts "http://$(addr hosts)" \
  --caller-requests 100000 --requests 100000 2> "$out/daemon.log" &
daemon=$!
pids+=("$daemon")
export COMFREYMUX_DAEMON=http://127.0.0.1:17080
$bin/comfreymux-standin table --limit 5000 > "$out/table.csv"
for _ in $(seq 100); do
  $bin/comfreymux table apply "$out/table.csv" > /dev/null 2>&1 && break
  sleep 0.1
done
load() { "$bin/comfreymux-standin" load --rate "$rate" --seconds "$seconds" "$@"; }
echo "idle daemon: $(awk '/VmRSS/ {print $2 / 1024 " MiB"}' /proc/$daemon/status)"
echo "one stream loads the model"
"$bin/comfreymux-standin" load --to 127.0.0.1:17080 --rate 1 --seconds 1 --tokens 1
echo "daemon, refusals of a cold model whose deadline cannot be met"
"$bin/comfreymux-standin" refusals --to 127.0.0.1:17080
echo "engine alone"
load --to "$(addr engine)"
echo "relay without decisions"
load --to "$(addr relay)" --pid "$relay"
echo "daemon"
load --to 127.0.0.1:17080 --pid "$daemon"
