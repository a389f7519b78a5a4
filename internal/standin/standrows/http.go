package standrows

import (
	"net/http"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/standin/standfault"
)

// Handler serves the store's protocol over HTTP and counts the calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /quetzalfront/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /quetzalfront/rows-get", s.serveGet)
	mux.HandleFunc("GET /quetzalfront/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// headerEra holds the store's era in all answers.
const headerEra = "Store-Era"

// eraWriter adds the store's era at the time of the answer.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	// hasEra is set once the era was added.
	hasEra bool
}

func (w *eraWriter) addEra() {
	if !w.hasEra {
		w.hasEra = true
		w.Header().Set(headerEra, strconv.FormatUint(w.store.Era(), 10))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.addEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	w.addEra()
	return w.ResponseWriter.Write(data)
}

// serveTransaction commits a transaction.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if standfault.ReadJSON(w, r, &t) {
		standfault.RespondToWrite(w, s.commit(r.Context(), &t))
	}
}

// serveGet serves the rows of a key range.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit")) // Without a limit, pageRows applies.
	page, err := s.readRange(r.Context(), keyRange{q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit})
	standfault.Respond(w, page, err)
}

// serveFeed serves the changes after a version as a long poll: it responds once there is a
// change, or after wait-ms with no rows.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a number", http.StatusBadRequest)
		return
	}
	if err := s.gate.AdmitRead(r.Context(), qf.StepTableRead); err != nil {
		standfault.Respond(w, storeResponse{}, err)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms")) // Without it, the response is sent at once.
	timeout := s.clock.After(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		changes, status, changed := s.changesAfter(q.Get("table"), after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(changes.Rows) > 0 {
			standfault.Respond(w, changes, nil)
			return
		}
		select {
		case <-changed:
		case <-timeout.C():
			standfault.Respond(w, changes, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}
