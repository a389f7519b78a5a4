package qfroom

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/coordination/qfshare"
)

var modelBegin = time.Unix(1_780_000_000, 0)

// roomModel is a fleet of limiters before brittle endpoints.
type roomModel struct {
	random    *rand.Rand
	names     []qf.NodeID
	nodes     []*Limiter
	endpoints []*modelEndpoint
	// busy holds when the requests in progress end.
	busy             []modelRequest
	served, rejected int
}

type modelEndpoint struct {
	qf.Endpoint
	running int
}

type modelRequest struct {
	node     *Limiter
	endpoint *modelEndpoint
	endsAt   time.Time
}

const (
	modelPlaces   = 4
	modelDuration = 530 * time.Millisecond
)

func newRoomModel(nodes, endpoints int) *roomModel {
	m := &roomModel{random: rand.New(rand.NewPCG(1, 31))}
	for i := range nodes {
		m.names = append(m.names, qf.NodeID(fmt.Sprintf("node-%02d", i)))
	}
	for _, name := range m.names {
		shares := qfshare.NewTable(name)
		shares.SetMembers(modelBegin, m.names)
		m.nodes = append(m.nodes, NewLimiter(shares))
	}
	for i := range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{Endpoint: qf.Endpoint{ID: qf.EndpointID(fmt.Sprintf("engine-%d", i)), Entry: "chat"}})
	}
	return m
}

// answer lets a node see the header of an endpoint's answer.
func (m *roomModel) answer(now time.Time, node *Limiter, e *modelEndpoint, isRejected bool) {
	node.RecordAnswer(now, &e.Endpoint, &qf.ResponseInfo{
		NotRun: isRejected, Brittle: qf.StatedNumber{Kind: qf.StatedNumeric, Value: 3}, Load: &qf.ResponseLoad{Running: e.running, Slots: modelPlaces},
	})
}

// offer sends a request from a node to the first endpoint that may get it, or passes it to a node that
// has a place.
func (m *roomModel) offer(now time.Time, node *Limiter) {
	if m.send(now, node) {
		return
	}
	if holder, ok := node.FindHolder(now, "chat", m.random.Uint64()); ok {
		m.send(now, m.nodes[slices.Index(m.names, holder)])
	}
}

func (m *roomModel) send(now time.Time, node *Limiter) bool {
	first := m.random.IntN(len(m.endpoints))
	for i := range m.endpoints {
		e := m.endpoints[(first+i)%len(m.endpoints)]
		if !node.MayStart(now, e.ID, e.Entry) {
			continue
		}
		if e.running >= modelPlaces {
			m.rejected++
			m.answer(now, node, e, true)
			return true
		}
		node.RecordStart(&e.Endpoint)
		e.running++
		m.answer(now, node, e, false)
		m.busy = append(m.busy, modelRequest{node, e, now.Add(modelDuration)})
		return true
	}
	return false
}

func (m *roomModel) play(perSecond float64, length time.Duration) {
	const step = 5 * time.Millisecond
	for _, node := range m.nodes {
		for _, e := range m.endpoints {
			m.answer(modelBegin, node, e, false)
		}
	}
	for now := modelBegin; now.Before(modelBegin.Add(length)); now = now.Add(step) {
		var left []modelRequest
		for _, r := range m.busy {
			if r.endsAt.After(now) {
				left = append(left, r)
				continue
			}
			r.endpoint.running--
			r.node.RecordEnd(&r.endpoint.Endpoint, modelDuration)
			m.served++
		}
		m.busy = left
		for _, node := range m.nodes {
			if m.random.Float64() < perSecond*step.Seconds()/float64(len(m.nodes)) {
				m.offer(now, node)
			}
		}
	}
}

// TestPlacesFillTheRoom fails if nodes together send more to brittle endpoints than they have room for,
// or leave much of the room unused.
func TestPlacesFillTheRoom(t *testing.T) {
	const length = 20 * time.Second
	tests := []struct {
		nodes, endpoints int
		// load is the demand as a multiple of what the room allows.
		load, wantUsed float64
	}{
		{1, 8, 1.85, 0.85}, {6, 8, 1.85, 0.8}, {6, 8, 4, 0.9}, {6, 8, 0.3, 0.9}, {7, 3, 1.85, 0.7}, {20, 8, 4, 0.8}, {66, 24, 0.2, 0.75},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d nodes, %d endpoints, load %v", tt.nodes, tt.endpoints, tt.load), func(t *testing.T) {
			m := newRoomModel(tt.nodes, tt.endpoints)
			room := float64(tt.endpoints*modelPlaces) / modelDuration.Seconds()
			m.play(tt.load*room, length)
			used := float64(m.served) / (min(tt.load, 1) * room * length.Seconds())
			perEndpoint := float64(m.rejected) / float64(tt.endpoints) / length.Seconds()
			if used < tt.wantUsed || perEndpoint > 0.5 {
				t.Errorf("%.2f of what is possible was served, %.2f rejections a second at each endpoint", used, perEndpoint)
			}
			t.Logf("%.2f served, %.2f rejections a second at each endpoint", used, perEndpoint)
		})
	}
}

// TestBrittlenessEnds fails if nodes keep each other believing that endpoints are brittle which no longer
// state it.
func TestBrittlenessEnds(t *testing.T) {
	m := newRoomModel(3, 1)
	m.answer(modelBegin, m.nodes[0], m.endpoints[0], false)
	last := time.Duration(0)
	for at := time.Duration(0); at < 2*time.Minute; at += 400 * time.Millisecond {
		now := modelBegin.Add(at)
		for _, from := range m.nodes {
			for _, to := range m.nodes {
				to.MergeBrittle(now, from.ListStated(now))
			}
		}
		if m.nodes[2].IsBrittle(now, "chat") {
			last = at
		}
	}
	if last < brittleFor || last > 3*brittleFor {
		t.Errorf("a peer took the endpoints for brittle until %v after the only statement", last)
	}
}
