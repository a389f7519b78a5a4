package standreplica

import (
	"encoding/json"
	"net/http"
	"slices"
)

const pathMove = "/quetzalfront/kv-move"

// serveMove copies the memory of a running stream; a last move also stops it.
func (r *Replica) serveMove(w http.ResponseWriter, request *http.Request) {
	var move struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(request.Body).Decode(&move) != nil || !r.hasRun(move.ID) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if move.Last {
		r.mu.Lock()
		r.moved[move.ID] = true
		r.mu.Unlock()
	}
	if r.MoveTakes > 0 {
		<-r.clock.After(r.MoveTakes).C()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h-" + move.ID, "create-rev": 1}) // The caller repeats a call without an answer.
}

func (r *Replica) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.ID == id && !r.moved[id] {
			return true
		}
	}
	return false
}

func (r *Replica) isMoved(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved[id]
}

// Stop ends all streams without their ends.
func (r *Replica) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStopped = true
}

// HasStopped reports whether the replica has stopped.
func (r *Replica) HasStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isStopped
}

// HasRun reports whether the replica started to execute a request.
func (r *Replica) HasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.runs, func(run *ExecutedRequest) bool { return run.ID == id })
}
