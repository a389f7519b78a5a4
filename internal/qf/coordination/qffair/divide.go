// Package qffair divides the room of an entry in a shortage: between ranks in their order, and within a rank fairly between
// organisations. It does no I/O and reads no clock.
package qffair

import (
	"cmp"
	"slices"

	"quetzalfront/internal/qf"
)

// rankFloor is the part of the room that each rank keeps if it asks for it, so that none is shut out for good.
const rankFloor = 0.05

// Demand is what an organisation asks for at one rank of an entry, and what it gets.
type Demand struct {
	// Rank is 0 for the most urgent requests.
	Rank         int
	Organisation qf.Organisation
	// Weight is above 0.
	Weight float64
	// Asked and Granted are in the same unit as the room. Granted is at most Asked.
	Asked, Granted float64
}

// rankRoom is the room of one rank.
type rankRoom struct {
	rank           int
	asked, granted float64
}

// DivideRoom sets what is granted of each demand, and returns the level within each rank: what it grants for a weight of 1.
// More urgent ranks come first, but each rank keeps its floor, and none is granted a larger part of what it asks for than a
// more urgent one. Within a rank the division is by weighted max-min fairness. It sorts the demands.
func DivideRoom(room float64, demands []Demand) map[int]float64 {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	var ranks []rankRoom
	for i := range demands {
		if len(ranks) == 0 || ranks[len(ranks)-1].rank != demands[i].Rank {
			ranks = append(ranks, rankRoom{rank: demands[i].Rank})
		}
		ranks[len(ranks)-1].asked += demands[i].Asked
	}
	divideByRank(room, ranks)
	levels := make(map[int]float64, len(ranks))
	first := 0
	for _, r := range ranks {
		end := first
		for end < len(demands) && demands[end].Rank == r.rank {
			end++
		}
		levels[r.rank] = divideFairly(r.granted, demands[first:end])
		first = end
	}
	return levels
}

// divideByRank sets the room of each rank.
func divideByRank(room float64, ranks []rankRoom) {
	left := room
	for i := range ranks {
		r := &ranks[i]
		r.granted = min(r.asked, rankFloor*room)
		left -= r.granted
	}
	for i := range ranks {
		r := &ranks[i]
		more := min(r.asked-r.granted, max(left, 0))
		r.granted += more
		left -= more
	}
	keepOrder(ranks)
}

// keepOrder joins the rooms of neighbouring ranks until no rank is granted a larger part of what it asks for than a more
// urgent one. Joined ranks are granted the same part.
func keepOrder(ranks []rankRoom) {
	type group struct {
		asked, granted float64
		count          int
	}
	var groups []group
	for _, r := range ranks {
		groups = append(groups, group{asked: r.asked, granted: r.granted, count: 1})
		for len(groups) > 1 {
			last, before := groups[len(groups)-1], &groups[len(groups)-2]
			if last.granted*before.asked <= before.granted*last.asked {
				break
			}
			before.asked, before.granted, before.count = before.asked+last.asked, before.granted+last.granted, before.count+last.count
			groups = groups[:len(groups)-1]
		}
	}
	next := 0
	for _, g := range groups {
		for range g.count {
			if g.asked > 0 {
				ranks[next].granted = ranks[next].asked * g.granted / g.asked
			}
			next++
		}
	}
}

// divideFairly divides room by weighted max-min fairness, and returns the level: what it grants for a weight of 1.
func divideFairly(room float64, demands []Demand) float64 {
	order := make([]*Demand, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = &demands[i]
		weights += demands[i].Weight
	}
	slices.SortStableFunc(order, func(a, b *Demand) int { return cmp.Compare(a.Asked/a.Weight, b.Asked/b.Weight) })
	level := 0.0
	for _, d := range order {
		level = room / weights
		d.Granted = min(d.Asked, level*d.Weight)
		room = max(room-d.Granted, 0)
		weights -= d.Weight
	}
	return level
}
