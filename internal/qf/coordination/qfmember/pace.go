package qfmember

import "time"

// SharedInterval returns how often one of the live nodes may read something of
// which all nodes pass the news on, so that all of them together stay within so
// many reads a second. It is never shorter than the interval of a single node.
func SharedInterval(interval time.Duration, live, readsPerSecond int) time.Duration {
	return max(interval, time.Duration(live)*time.Second/time.Duration(readsPerSecond))
}
