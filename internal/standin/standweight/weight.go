// Package standweight is a small stand-in for the platform's rate-limited weight
// store: loads share one bandwidth and run one after the other.
package standweight

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfweight"
	"quetzalfront/internal/standin/standfault"
)

const (
	// CallsPerSecond is the rate limit of reads and of reservations.
	CallsPerSecond = 100
	// DefaultBytesPerSecond is the bandwidth that all loads share.
	DefaultBytesPerSecond = 2 << 30
	// MaxBacklog is the total time of the reserved loads above which further
	// reservations are refused.
	MaxBacklog = 30 * time.Minute
)

// Store is the weight store. It implements qf.WeightStore.
type Store struct {
	clock          qf.Clock
	gate           *standfault.Gate
	bytesPerSecond uint64

	mu sync.Mutex
	// sizes holds the size in bytes of each version's weights.
	sizes map[qfweight.Weights]uint64
	// freeAt is the time at which all reserved loads are complete.
	freeAt time.Time
}

// New returns a store without weights that has this bandwidth.
func New(clock qf.Clock, bytesPerSecond uint64) *Store {
	return &Store{
		clock: clock, bytesPerSecond: bytesPerSecond,
		gate:  standfault.NewGate(clock, CallsPerSecond, CallsPerSecond),
		sizes: map[qfweight.Weights]uint64{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults standfault.Faults) { s.gate.SetFaults(faults) }

// Add registers the weights of a version with their size.
func (s *Store) Add(entry qf.EntryName, version qf.Version, bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[qfweight.Weights{Entry: entry, Version: version}] = bytes
}

// Size implements qf.WeightStore.
func (s *Store) Size(ctx context.Context, entry qf.EntryName, version qf.Version) (uint64, error) {
	if err := s.gate.AdmitRead(ctx, qf.StepWeights); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size(entry, version)
}

// size returns the size of a version's weights. The caller holds s.mu.
func (s *Store) size(entry qf.EntryName, version qf.Version) (uint64, error) {
	size, ok := s.sizes[qfweight.Weights{Entry: entry, Version: version}]
	if !ok {
		return 0, qf.NewError(qf.CodeNotFound, qf.StepWeights, "", string(entry)+"/"+string(version))
	}
	return size, nil
}

// Reserve implements qf.WeightStore.
func (s *Store) Reserve(ctx context.Context, entry qf.EntryName, version qf.Version) (time.Duration, error) {
	if err := s.gate.AdmitWrite(ctx, qf.StepWeights); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size, err := s.size(entry, version)
	if err != nil {
		return 0, err
	}
	now := s.clock.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	if backlog := s.freeAt.Sub(now); backlog > MaxBacklog {
		err := qf.NewError(qf.CodeLimited, qf.StepWeights, "", "too many loads are reserved")
		err.RetryAfter = backlog - MaxBacklog
		return 0, err
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / float64(s.bytesPerSecond) * float64(time.Second)))
	return s.freeAt.Sub(now), nil
}

// Handler serves the store over HTTP, as the adapter in qfweight expects it.
// PUT /faults replaces the injected faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfweight.PathSize, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		size, err := s.Size(r.Context(), qf.EntryName(q.Get("entry")), qf.Version(q.Get("version")))
		standfault.Respond(w, qfweight.Size{Bytes: size}, err)
	})
	mux.HandleFunc("POST "+qfweight.PathReservations, func(w http.ResponseWriter, r *http.Request) {
		var weights qfweight.Weights
		if standfault.ReadJSON(w, r, &weights) {
			completeIn, err := s.Reserve(r.Context(), weights.Entry, weights.Version)
			standfault.Respond(w, qfweight.Reservation{CompleteIn: completeIn}, err)
		}
	})
	mux.HandleFunc("PUT "+standfault.PathFaults, standfault.ServeFaults(s.SetFaults))
	return mux
}
