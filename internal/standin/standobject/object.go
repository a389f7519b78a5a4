// Package standobject is a small stand-in for the platform's object store:
// in-memory objects, conditional writes, rate limits and fault injection.
package standobject

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfobject"
	"quetzalfront/internal/standin/standfault"
)

// The rate limits that the platform documents.
const (
	WritesPerSecond = 500
	ReadsPerSecond  = 2000
)

// Store is the object store. It implements qf.ObjectStore.
type Store struct {
	gate *standfault.Gate

	mu      sync.Mutex
	objects map[string]qf.Object
}

// New returns an empty store.
func New(clock qf.Clock) *Store {
	return &Store{
		gate:    standfault.NewGate(clock, ReadsPerSecond, WritesPerSecond),
		objects: map[string]qf.Object{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults standfault.Faults) { s.gate.SetFaults(faults) }

// Get implements qf.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (qf.Object, error) {
	if err := s.gate.AdmitRead(ctx, qf.StepObjectGet); err != nil {
		return qf.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	object, ok := s.objects[key]
	if !ok {
		return qf.Object{}, qf.NewError(qf.CodeNotFound, qf.StepObjectGet, "", key)
	}
	return object, nil
}

// Put implements qf.ObjectStore.
func (s *Store) Put(ctx context.Context, key string, version uint64, body []byte) qf.Result[uint64] {
	if len(body) > qfobject.MaxObjectBytes {
		return qf.NotDoneFor[uint64](qf.NewError(qf.CodeTooLarge, qf.StepObjectPut, "", "the object is too large"))
	}
	if err := s.gate.AdmitWrite(ctx, qf.StepObjectPut); err != nil {
		return qf.NotDoneFor[uint64](err)
	}
	stored := append([]byte{}, body...)
	s.mu.Lock()
	defer s.mu.Unlock()
	return standfault.RunWrite(s.gate, qf.StepObjectPut, func() qf.Result[uint64] { return s.apply(key, version, stored) })
}

// apply writes an object if its version matches; 0 means that there must be none. The
// caller holds s.mu.
func (s *Store) apply(key string, version uint64, body []byte) qf.Result[uint64] {
	if s.objects[key].Version != version {
		err := qf.NewError(qf.CodeConflict, qf.StepObjectPut, "", "the object is at another version")
		err.Field = key
		return qf.NotDoneFor[uint64](err)
	}
	s.objects[key] = qf.Object{Key: key, Version: version + 1, Body: body}
	return qf.DoneWith(version + 1)
}

// List implements qf.ObjectStore.
func (s *Store) List(ctx context.Context, prefix string) ([]string, error) {
	if err := s.gate.AdmitRead(ctx, qf.StepObjectGet); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ApplyDueWrites()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Handler serves the store over HTTP, as the adapter in qfobject expects it.
// PUT /faults replaces the injected faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+qfobject.PathObject, s.serveGet)
	mux.HandleFunc("PUT "+qfobject.PathObject, s.servePut)
	mux.HandleFunc("GET "+qfobject.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		keys, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
		standfault.Respond(w, keys, err)
	})
	mux.HandleFunc("PUT "+standfault.PathFaults, standfault.ServeFaults(s.SetFaults))
	return mux
}

// serveGet sends an object's body, with its version as the ETag.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := s.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		standfault.Respond(w, nil, err)
		return
	}
	w.Header().Set("ETag", qfobject.ETagOf(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Body) // The client detects a truncated body.
}

// servePut writes an object. The request must have exactly one of the preconditions
// If-Match with a version and If-None-Match: *.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	version, err := qfobject.VersionOf(r.Header.Get("If-Match"))
	if (err == nil) == (r.Header.Get("If-None-Match") == qfobject.AnyVersion) {
		http.Error(w, "expected If-Match with a version or If-None-Match: *", http.StatusPreconditionRequired)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, qfobject.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	result := s.Put(r.Context(), r.URL.Query().Get("key"), version, body)
	if result.Certainty == qf.Done {
		w.Header().Set("ETag", qfobject.ETagOf(result.Value))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	standfault.RespondToWrite(w, result)
}
