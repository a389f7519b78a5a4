#!/usr/bin/env bash
# Sends many short and then some long answers through one node and prints the node's processor time.
# Usage, in an empty directory: rates.sh PATH-OF-quetzalfront. It uses the ports 17001 to 17104 of loopback.
set -u
BIN=$1
INTERVAL=10ms
. "$(dirname "$0")/setup.sh"
c() { curl -s http://127.0.0.1:17003/metrics | awk '/^process_cpu_seconds_total/{print $2}'; }
L="$BIN load --target 127.0.0.1:17001 --organisation free --json"
for k in "--requests 3000 --rate 600 --tokens 1" "--requests 300 --rate 60 --tokens 256"; do
  a=$(c); $L $k > out.json; b=$(c)
  echo "$k: cpu $a -> $b $(grep -E '"(Answered|Tokens|Took|Unknown|NotRun)"' out.json | tr -d '\n')"
done
kill $N $S; wait
