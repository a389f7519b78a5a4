#!/usr/bin/env bash
# Opens 5,000 streams in one node, a process of its own, and prints what the node reports of itself.
# Usage, in an empty directory: streams.sh PATH-OF-quetzalfront. It uses the ports 17001 to 17104 of loopback.
set -u
BIN=$1
INTERVAL=1s
. "$(dirname "$0")/setup.sh"
$BIN load --target 127.0.0.1:17001 --organisation free --requests 5000 --rate 2000 --tokens 8 --words 50 --first-token 60s > load.txt 2>&1 & L=$!
for i in 1 2 3 4 5 6 7; do sleep 1; echo "$i s: $(m)"; done
wait $L; cat load.txt
echo "after: $(m)"
kill $N $S; wait
