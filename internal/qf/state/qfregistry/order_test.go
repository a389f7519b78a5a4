package qfregistry

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfmirror"
	"quetzalfront/internal/qf/state/qftimer"
)

// storeModel is the store's table of endpoints with its history, as other writers and lapses change it.
type storeModel struct {
	era     qf.StoreEra
	version uint64
	rows    map[string]qf.FeedRow
	// history holds all changes of the era.
	history []qf.FeedRow
	// incarnations and sequences are those of each endpoint's last start and registration.
	incarnations, sequences map[string]uint64
	// leaving holds the endpoints whose present incarnation leaves: it never takes requests again.
	leaving map[string]bool
}

func (s *storeModel) write(row qf.FeedRow) {
	s.version++
	row.Version = s.version
	s.history = append(s.history, row)
	if row.Removed {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// register writes an endpoint's row. A new incarnation begins with another sequence.
func (s *storeModel) register(key string, isNew, isLeaving bool) {
	if isNew || s.incarnations[key] == 0 || s.leaving[key] && !isLeaving {
		s.incarnations[key]++
		s.sequences[key] = 0
	}
	s.leaving[key] = isLeaving
	s.sequences[key]++
	value, _ := json.Marshal(qf.RegisteredEndpoint{
		Endpoint: qf.Endpoint{ID: qf.EndpointID(key), Incarnation: qf.Incarnation(s.incarnations[key]), Entry: "chat"},
		Slots:    8, Leaving: isLeaving, Sequence: s.sequences[key],
	})
	s.write(qf.FeedRow{Key: key, Value: value})
}

// restore brings the store back from a copy with some of its changes, after which the endpoints that are listed write
// their rows again and those of others are removed.
func (s *storeModel) restore(kept int) {
	listed := s.rows
	history := s.history[:kept]
	s.era++
	s.rows, s.history = map[string]qf.FeedRow{}, nil
	for _, row := range history {
		s.version = row.Version
		delete(s.rows, row.Key)
		if !row.Removed {
			s.rows[row.Key] = row
		}
	}
	var old []string
	for key := range s.rows {
		old = append(old, key)
	}
	slices.Sort(old)
	for _, key := range old {
		if _, isListed := listed[key]; !isListed {
			s.write(qf.FeedRow{Key: key, Removed: true})
		}
	}
	for _, key := range endpointKeys {
		if row, isListed := listed[key]; isListed {
			s.write(qf.FeedRow{Key: key, Value: row.Value})
		}
	}
}

func (s *storeModel) snapshot() qf.FeedPage {
	page := qf.FeedPage{Era: s.era, Version: s.version}
	for _, row := range s.rows {
		page.Rows = append(page.Rows, row)
	}
	return page
}

// changes returns up to most changes after a version.
func (s *storeModel) changes(after uint64, most int) qf.FeedPage {
	page := qf.FeedPage{Era: s.era, Version: after}
	for _, row := range s.history {
		if row.Version > after && len(page.Rows) < most {
			page.Rows, page.Version = append(page.Rows, row), row.Version
		}
	}
	return page
}

var endpointKeys = []string{"a", "b", "c", "d", "e", "f"}

// reader applies pages to a registry as a node does, read at the store or at a mirror.
type reader struct {
	registry *Registry
	position qf.StorePosition
}

func (r *reader) apply(t *rapid.T, now time.Time, page *qf.FeedPage) {
	page.Fold()
	rows := make([]Row, len(page.Rows))
	for i := range page.Rows {
		rows[i] = Row{ID: qf.EndpointID(page.Rows[i].Key), Version: page.Rows[i].Version}
		if page.Rows[i].Removed {
			continue
		}
		var listed qf.RegisteredEndpoint
		if err := json.Unmarshal(page.Rows[i].Value, &listed); err != nil {
			t.Fatal(err)
		}
		rows[i].Endpoint = &listed
	}
	r.registry.Apply(now, rows, page.Era)
	r.position = page.Position()
}

func (r *reader) applySnapshot(t *rapid.T, now time.Time, page *qf.FeedPage) {
	present := map[qf.EndpointID]bool{}
	for i := range page.Rows {
		present[qf.EndpointID(page.Rows[i].Key)] = true
	}
	r.registry.RemoveMissing(now, present, page.Position())
	r.apply(t, now, page)
}

// read reads one page of the store: changes of the era, or else a snapshot.
func (r *reader) read(t *rapid.T, now time.Time, s *storeModel, most int) {
	if r.position.Era != s.era {
		page := s.snapshot()
		r.applySnapshot(t, now, &page)
		return
	}
	page := s.changes(r.position.Version, most)
	r.apply(t, now, &page)
}

// TestRegistryFollowsAnyHistory draws histories of rows that are written, removed and written again, stores that come back
// from a copy, failed calls, and pages of any length, read at the store or through a relay's copy. It fails if the usable
// endpoints differ from those that the store lists once the rows that lapsed had the time to return.
func TestRegistryFollowsAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_780_000_000, 0)
		s := &storeModel{era: 1, rows: map[string]qf.FeedRow{}, incarnations: map[string]uint64{}, sequences: map[string]uint64{}, leaving: map[string]bool{}}
		direct, member := &reader{registry: New()}, &reader{registry: New()}
		mirror := qfmirror.New(qftimer.NewWall())
		const feed = qf.FeedEndpoints
		mirror.RecordRead(feed, nil)
		readRelay := func() {
			if member.position.Era == s.era {
				if page, err := mirror.ChangesSince(feed, member.position); err == nil {
					member.apply(t, now, &page)
					return
				}
			}
			if page, err := mirror.Snapshot(feed); err == nil && page.Position().Compare(member.position) >= 0 {
				member.applySnapshot(t, now, &page)
			}
		}
		relayPosition := qf.StorePosition{}
		readStore := func(most int) {
			direct.read(t, now, s, most)
			if relayPosition.Era != s.era {
				page := s.snapshot()
				mirror.ApplySnapshot(feed, &page)
				relayPosition = page.Position()
				return
			}
			page := s.changes(relayPosition.Version, most)
			page.Fold()
			mirror.ApplyChanges(feed, relayPosition, &page)
			relayPosition = page.Position()
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			key := rapid.SampledFrom(endpointKeys).Draw(t, "key")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				s.register(key, rapid.Bool().Draw(t, "isNew"), false)
			case 3:
				s.register(key, false, true)
			case 4, 5:
				if _, isListed := s.rows[key]; isListed {
					s.write(qf.FeedRow{Key: key, Removed: true})
				}
			case 6:
				for _, lapsed := range endpointKeys {
					if _, isListed := s.rows[lapsed]; isListed {
						s.write(qf.FeedRow{Key: lapsed, Removed: true})
					}
				}
			case 7:
				if len(s.history) > 0 {
					s.restore(rapid.IntRange(0, len(s.history)).Draw(t, "kept"))
				}
			case 8:
				direct.registry.MarkStoreFailed()
				member.registry.MarkStoreFailed()
			case 9:
				readRelay()
			default:
				readStore(rapid.IntRange(1, 8).Draw(t, "most"))
				direct.registry.MarkStoreAnswered()
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
			direct.registry.RemoveLapsed(now)
			member.registry.RemoveLapsed(now)
		}
		for range 2 + len(s.history) {
			readStore(1000)
			readRelay()
		}
		now = now.Add(lapseGrace)
		want := fmt.Sprint(usableOf(t, s))
		for name, r := range map[string]*reader{"store": direct, "relay": member} {
			r.registry.RemoveLapsed(now)
			var got []string
			for _, e := range r.registry.Usable() {
				got = append(got, fmt.Sprintf("%s %d", e.ID, e.Incarnation))
			}
			if fmt.Sprint(got) != want {
				t.Errorf("a reader of the %s uses %v, the store lists %s", name, got, want)
			}
		}
	})
}

// usableOf returns the endpoints that the store lists and that don't leave.
func usableOf(t *rapid.T, s *storeModel) []string {
	var usable []string
	for _, key := range endpointKeys {
		row, isListed := s.rows[key]
		if !isListed {
			continue
		}
		var listed qf.RegisteredEndpoint
		if err := json.Unmarshal(row.Value, &listed); err != nil {
			t.Fatal(err)
		}
		if !listed.Leaving {
			usable = append(usable, fmt.Sprintf("%s %d", key, listed.Incarnation))
		}
	}
	return usable
}

// TestMissedChangesShow fails if a snapshot doesn't show which rows a node has missed or kept too long, or if it names rows
// that changed after what was read.
func TestMissedChangesShow(t *testing.T) {
	began := time.Unix(1_780_000_000, 0)
	at := func(version uint64) qf.StorePosition { return qf.StorePosition{Era: 1, Version: version} }
	row := func(id qf.EndpointID, version uint64) Row {
		return Row{ID: id, Version: version, Endpoint: &qf.RegisteredEndpoint{Endpoint: qf.Endpoint{ID: id, Incarnation: 1, Entry: "chat"}, Slots: 8}}
	}
	tests := []struct {
		name     string
		listed   []Row
		snapshot []Row
		at       qf.StorePosition
		readUpTo uint64
		want     []qf.EndpointID
	}{
		{"nothing missed", []Row{row("a", 3)}, []Row{row("a", 3)}, at(9), 9, nil},
		{"a row", []Row{row("a", 3)}, []Row{row("a", 3), row("b", 4)}, at(9), 9, []qf.EndpointID{"b"}},
		{"a change of a row", []Row{row("a", 3)}, []Row{row("a", 5)}, at(9), 9, []qf.EndpointID{"a"}},
		{"a removal", []Row{row("a", 3), row("b", 4)}, []Row{row("a", 3)}, at(9), 9, []qf.EndpointID{"b"}},
		{"a row that came later", []Row{row("a", 3)}, []Row{row("a", 3), row("b", 12)}, at(12), 9, nil},
		{"a removal that may have come later", []Row{row("a", 3), row("b", 4)}, []Row{row("a", 3)}, at(12), 9, nil},
		{"a row that can't be read", []Row{row("a", 3)}, []Row{row("a", 3), {ID: "b", Version: 4}}, at(9), 9, nil},
		{"another era", []Row{row("a", 3)}, []Row{row("a", 3), row("b", 4)}, qf.StorePosition{Era: 2, Version: 9}, 9, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Apply(began, tt.listed, 1)
			if got := r.ListMissed(tt.snapshot, tt.at, at(tt.readUpTo)); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
