# Starts stand-ins and one node, each a process, in the current directory, on the ports
# 17001 to 17104 of loopback. Sourced by the other scripts with BIN and INTERVAL set.
cat > fleet.toml <<E
TableAddress = "127.0.0.1:17100"
CloudAddress = "127.0.0.1:17101"
ObjectsAddress = "127.0.0.1:17102"
WeightsAddress = "127.0.0.1:17104"
[[Groups]]
Count = 4
Role = "ModelEngine"
Entry = "assistant"
Version = "v1"
AvailabilityZone = "lahore-north-a"
Class = "Reclaimable"
TokenInterval = "$INTERVAL"
Slots = 2000
[[Nodes]]
ID = "node-1"
AvailabilityZone = "lahore-north-a"
CallerAddress = "127.0.0.1:17001"
PeerAddress = "127.0.0.1:17002"
E
cat > node.toml <<E
[Node]
ID = "node-1"
Region = "lahore-north-"
AvailabilityZone = "lahore-north-a"
CallerAddress = "127.0.0.1:17001"
PeerAddress = "127.0.0.1:17002"
OperatorAddress = "127.0.0.1:17003"
[Platform]
Table = "127.0.0.1:17100"
Objects = "127.0.0.1:17102"
Cloud = "127.0.0.1:17101"
VMList = "127.0.0.1:17101"
[Security]
Insecure = true
E
cat > cat.toml <<E
[[Entries]]
Name = "assistant"
Kind = "ModelEngine"
Owner = "m"
Class = "Interactive"
Deadline = "60s"
Target = "v1"
[[Entries.Versions]]
Name = "v1"
E
$BIN standin --fleet fleet.toml > standin.log 2>&1 & S=$!
sleep 0.5
$BIN node --settings node.toml > node.log 2>&1 & N=$!
sleep 1
$BIN catalogue apply --node 127.0.0.1:17003 --operator m --base-revision 0 cat.toml
sleep 2
m() { curl -s http://127.0.0.1:17003/metrics | awk '/^(process_resident_memory_bytes|process_cpu_seconds_total|go_memstats_heap_inuse_bytes|go_memstats_stack_inuse_bytes|go_goroutines|go_memstats_mallocs_total|quetzalfront_active_requests|quetzalfront_output_tokens_total)/ {n=$1; sub(/\{.*/,"",n); printf "%s=%.0f ", n, $2}'; echo; }
echo "idle: $(m)"
