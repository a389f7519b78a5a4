package qfhttp

import (
	"runtime"
	"runtime/metrics"
)

// collectionsMetric is the name of the number of the collector's cycles that have ended.
const collectionsMetric = "/gc/cycles/total:gc-cycles"

// uncollected is the estimated memory that connections have given back and that the collector may not have freed. A cycle frees what was given
// back before it began: the next one that ends may have been in progress already, the one after it wasn't.
type uncollected struct {
	// older was given back before the last known cycle ended, newer since.
	older, newer int64
	// cycles is the number of cycles of which is known that they have ended.
	cycles uint64
	// sample is read for the number of cycles.
	sample [1]metrics.Sample
}

// add adds memory that was given back.
func (u *uncollected) add(memory int64) {
	u.update()
	u.newer += memory
}

// sum returns the memory that may not be freed yet.
func (u *uncollected) sum() int64 {
	u.update()
	return u.older + u.newer
}

// update drops what was freed meanwhile.
func (u *uncollected) update() {
	u.sample[0].Name = collectionsMetric
	metrics.Read(u.sample[:])
	ended := u.sample[0].Value.Uint64()
	switch ended - u.cycles {
	case 0:
	case 1:
		u.older, u.newer = u.newer, 0
	default:
		u.older, u.newer = 0, 0
	}
	u.cycles = ended
}

// giveBack lowers the estimated memory by what a connection holds no more. The caller must hold b.mu.
func (b *ConnectionBudget) giveBack(memory int64) {
	b.used -= memory
	if b.memory > 0 {
		b.uncollected.add(memory)
	}
}

// hasRoom reports whether the memory is within its bound, with what the collector hasn't freed. The caller must hold b.mu.
func (b *ConnectionBudget) hasRoom() bool {
	return b.memory <= 0 || b.used+b.uncollected.sum() <= b.memory
}

// mustCollect reports whether there is no room only since the collector hasn't run, and no connection runs it. The caller must hold b.mu.
func (b *ConnectionBudget) mustCollect() bool {
	return !b.isCollecting && !b.isFull(0) && !b.hasRoom()
}

// collect runs the collector, and wakes those that wait for room. The caller must hold b.mu, which isn't held meanwhile.
func (b *ConnectionBudget) collect() {
	b.isCollecting = true
	b.mu.Unlock()
	runtime.GC()
	b.mu.Lock()
	b.isCollecting = false
	b.signalRoom()
}
