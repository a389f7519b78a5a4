package standrows

import "time"

// Restore brings the store back as it was a time ago, with the versions of that time and an
// era that is one higher. Changes of other clients are lost too until RewriteLost.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-age)
	kept := 0
	for kept < len(s.log) && !s.log[kept].at.After(at) {
		kept++
	}
	for _, change := range s.log[kept:] {
		if change.isOthers {
			s.lost = append(s.lost, change.row)
		}
	}
	s.log = s.log[:kept]
	clear(s.rows)
	s.ver, s.history = 0, nil
	for _, change := range s.log {
		s.set(change.row)
		s.ver = change.row.Ver
		s.history = append(s.history, change.row)
	}
	s.floor = min(s.floor, s.ver)
	s.era++
	s.wakeFeeds()
}

// RewriteLost makes the other clients write again what restores have undone.
func (s *Store) RewriteLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lost
	s.lost = nil
	for _, row := range lost {
		t := &transaction{Writes: []Row{row}}
		if row.Removed {
			t = &transaction{Remove: []Row{row}}
		}
		s.applyOthers(t)
	}
}

// Era returns the store's era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
