package standrows

import (
	"net/http"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /quetzalfront/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /quetzalfront/rows-get", s.serveGet)
	mux.HandleFunc("GET /quetzalfront/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if standfault.ReadJSON(w, r, &t) {
		standfault.RespondToWrite(w, s.commit(r.Context(), &t))
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // Without a limit, all rows are meant.
	a, err := s.get(r.Context(), rangeOf{q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit})
	standfault.Respond(w, a, err)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a number", http.StatusBadRequest)
		return
	}
	if err := s.gate.AdmitRead(r.Context(), qf.StepTableRead); err != nil {
		standfault.Respond(w, answer{}, err)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms")) // Without it, the answer comes at once.
	timeout := s.clock.After(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		a, status, changed := s.since(q.Get("table"), after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(a.Rows) > 0 {
			standfault.Respond(w, a, nil)
			return
		}
		select {
		case <-changed:
		case <-timeout.C():
			standfault.Respond(w, a, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}
