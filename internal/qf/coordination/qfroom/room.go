package qfroom

import (
	"time"

	"quetzalfront/internal/qf"
)

const (
	// growInterval is the time in which an endpoint that took less than it states is given one place more.
	growInterval = 3 * time.Second
	// shrinkFactor is the part of its places that an endpoint keeps if a rejection doesn't show its load.
	shrinkFactor = 0.5
	// roomReportedFor is how long a room that has shrunk is reported to peers.
	roomReportedFor = 30 * time.Second
)

// room is the number of requests at once that an endpoint took when it rejected one.
type room struct {
	// places is at least 1 if at is set.
	places int
	// at is the time of the rejection, by the fleet's clock.
	at time.Time
}

// limit returns how many of the stated places may be used: one more after each growInterval without a
// rejection. All nodes that know of the rejection count the same.
func (r *room) limit(now time.Time, stated int) int {
	if r.at.IsZero() {
		return stated
	}
	grown := r.places + int(max(now.Sub(r.at), 0)/growInterval)
	return min(grown, stated)
}

// recordRejection records that an endpoint rejected a request, and reports whether it takes less than it states.
func (l *Limiter) recordRejection(now time.Time, e *endpoint, load *qf.ResponseLoad) (hasLess bool) {
	places := int(float64(l.slots(now, e)) * shrinkFactor)
	if load != nil {
		places = load.Running
	}
	places = max(places, 1)
	if places >= l.slots(now, e) {
		return false
	}
	e.room = room{places: places, at: now}
	e.countedAt = time.Time{}
	return true
}

// ListRooms returns the endpoints of brittle entries that take less than they state.
func (l *Limiter) ListRooms(now time.Time) []qf.EndpointRoom {
	var list []qf.EndpointRoom
	for id, e := range l.endpoints {
		isShrunk := !e.room.at.IsZero() && now.Sub(e.room.at) < roomReportedFor && e.room.limit(now, l.statedSlots(e)) < l.statedSlots(e)
		if isShrunk && l.IsBrittle(now, e.entry) {
			list = append(list, qf.EndpointRoom{Endpoint: id, Incarnation: e.incarnation, Entry: e.entry, Places: e.room.places, At: e.room.at})
		}
	}
	return list
}

// MergeRooms records what peers report of endpoints that take less than they state, and reports whether any
// of it is news.
func (l *Limiter) MergeRooms(rooms []qf.EndpointRoom) (isNews bool) {
	for i := range rooms {
		reported := &rooms[i]
		if known := l.endpoints[reported.Endpoint]; known != nil && known.incarnation > reported.Incarnation {
			continue
		}
		e := l.endpointOf(&qf.Endpoint{ID: reported.Endpoint, Incarnation: reported.Incarnation, Entry: reported.Entry})
		if reported.Places < 1 || !reported.At.After(e.room.at) {
			continue
		}
		e.room = room{places: reported.Places, at: reported.At}
		e.countedAt = time.Time{}
		isNews = true
	}
	return isNews
}
