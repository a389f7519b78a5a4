package standreplica

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Room is what a brittle replica takes.
type Room struct {
	// Places is the number of requests at once; more are rejected.
	Places int
	// Stated is the number of places that the replica states; 0 stands for Places.
	Stated int
	// Rejections is the number of rejections in a second above which the replica falls over. It states
	// this number with its answers.
	Rejections int
	// Fall ends the replica's process.
	Fall func()

	running   int
	rejected  []time.Time
	hasFallen bool
}

// SetRoom makes the replica brittle.
func (r *Replica) SetRoom(room *Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room = room
}

// enter takes a place, or reports that there is none. The replica falls over if it has rejected too
// many requests within a second.
func (r *Replica) enter(header http.Header) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.room
	if room == nil {
		return true
	}
	header.Set("Server-Brittle", strconv.Itoa(room.Rejections))
	stated := room.Places
	if room.Stated > 0 {
		stated = room.Stated
	}
	hasPlace := room.running < room.Places
	if hasPlace {
		room.running++
	}
	header.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", room.running, stated))
	if hasPlace {
		return true
	}
	now := r.clock.Now()
	room.rejected = slices.DeleteFunc(append(room.rejected, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(room.rejected) > room.Rejections && !room.hasFallen {
		room.hasFallen = true
		go room.Fall()
	}
	return false
}

// leave frees a place.
func (r *Replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.room != nil {
		r.room.running--
	}
}
