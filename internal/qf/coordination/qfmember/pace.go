package qfmember

import "time"

// SharedInterval returns the interval at which each of the live nodes may read a source
// whose changes all nodes pass on, so that together they stay within readsPerSecond. It
// is never shorter than the given interval of a single node.
func SharedInterval(interval time.Duration, live, readsPerSecond int) time.Duration {
	return max(interval, time.Duration(live)*time.Second/time.Duration(readsPerSecond))
}
