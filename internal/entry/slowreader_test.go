package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"quetzalfront/internal/standin/standflood"
)

// TestCallerThatDoesNotReadIsClosed fails if a caller that doesn't read its answer holds it long after the route's timeout.
func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	const callers, most = 10, 30 * time.Second
	tests := []struct {
		entry, path string
		flood       standflood.Flood
	}{
		{"chat", "/talk/1", standflood.Events},
		{"books", "/file/1", standflood.LengthBody},
	}
	for _, tt := range tests {
		t.Run(tt.entry, func(t *testing.T) {
			runFleet(t, 1, func(w *testFleet) {
				for _, id := range []string{tt.entry + "-1", tt.entry + "-2"} {
					w.store.Remove("servers", id)
				}
				w.addHeldFlood(tt.entry, tt.flood, 10<<20)
				w.sleep(time.Second)
				open, end := w.askWithoutReading(tt.path, callers)
				defer end()
				w.sleep(most)
				closed := 0
				for _, connection := range open {
					if connection.(interface{ HasEnded() bool }).HasEnded() {
						closed++
					}
				}
				if closed != callers {
					t.Errorf("%d of %d connections are closed", closed, callers)
				}
			})
		})
	}
}

// TestKeptConnectionIsAnsweredLater fails if the time bound of one answer ends the next one on the same connection.
func TestKeptConnectionIsAnsweredLater(t *testing.T) {
	const later = 40 * time.Second
	runFleet(t, 1, func(w *testFleet) {
		connection, err := w.network.From(callerIP).Dial(w.t.Context(), "tcp", "10.1.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close() //nolint:errcheck // The test is over.
		reader := bufio.NewReader(connection)
		good := "GET /read/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + goodKey + "\r\nX-Request-Id: kept\r\n\r\n"
		for i, text := range []string{good, "GET / HTTP/1.1\r\nno field\r\n\r\n"} {
			if _, err := io.WriteString(connection, text); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if want := []int{http.StatusOK, http.StatusBadRequest}[i]; response.StatusCode != want {
				t.Errorf("request %d got %d, want %d", i, response.StatusCode, want)
			}
			w.sleep(later)
		}
	})
}
