package standtrouble

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// latestStart is when the last trouble begins at the latest, unless it follows a turn of another one.
	latestStart = 10 * time.Second
	// followWithin is how soon after a turn a trouble begins that follows it.
	followWithin = 400 * time.Millisecond
	// mostTurns is the number of turns of a trouble that others may follow.
	mostTurns = 64
)

// Drawn is a trouble with when it begins.
type Drawn struct {
	*Trouble
	startAt time.Duration
	// follows is the index of the trouble whose turn it follows, or -1; turn is the number of that turn from 0 on.
	follows, turn int
	seed          uint64
	stage         *Stage
}

// String describes the trouble for readers.
func (d *Drawn) String() string {
	when := fmt.Sprintf("at %s", d.startAt)
	if d.follows >= 0 {
		when = fmt.Sprintf("%s after turn %d of trouble %d", d.startAt, d.turn, d.follows)
	}
	text := d.Name + " " + when
	if d.stage != nil {
		text += " (" + strings.Join(d.stage.told, ", ") + ")"
	}
	return text
}

// Draw draws two or three troubles of different actors. A later one begins at any time or, as often, right after a turn of
// an earlier one: what breaks a promise is mostly a second trouble in the moment in which a first one changes something.
func Draw(random *rand.Rand) []*Drawn {
	actors := []Actor{ActorEndpoint, ActorStore, ActorWriter, ActorOperator, ActorMachine, ActorCaller}
	random.Shuffle(len(actors), func(i, j int) { actors[i], actors[j] = actors[j], actors[i] })
	const inFourThree = 3 // Three of four days have three troubles.
	count := 2
	if random.IntN(4) < inFourThree {
		count++
	}
	actors = actors[:count]
	// What an operator does takes long and has many turns: what is drawn beside it may follow it.
	slices.SortStableFunc(actors, func(a, b Actor) int { return rank(a) - rank(b) })
	drawn := make([]*Drawn, 0, len(actors))
	for i, actor := range actors {
		d := &Drawn{Trouble: pick(random, byActor(actor)...), follows: -1, seed: random.Uint64()}
		d.startAt = time.Duration(random.Int64N(int64(latestStart)))
		if i > 0 && random.IntN(4) > 0 {
			d.follows, d.turn = random.IntN(i), random.IntN(3)
			d.startAt = time.Duration(random.Int64N(int64(followWithin)))
		}
		drawn = append(drawn, d)
	}
	return drawn
}

// rank orders the actors for Draw.
func rank(a Actor) int {
	if a == ActorOperator {
		return 0
	}
	return 1
}

// byActor returns the rows of an actor, each as often as it weighs.
func byActor(actor Actor) []*Trouble {
	var rows []*Trouble
	for i := range table {
		for range max(1, table[i].weight) {
			if table[i].Actor == actor {
				rows = append(rows, &table[i])
			}
		}
	}
	return rows
}

// Table returns all rows.
func Table() []Trouble { return slices.Clone(table) }

// Play plays the troubles on a world and returns when all are over.
func Play(world World, drawn []*Drawn) {
	for _, d := range drawn {
		d.stage = &Stage{World: world, Random: rand.New(rand.NewPCG(d.seed, 3)), turns: make(chan struct{}, mostTurns)}
	}
	ended := make([]chan struct{}, len(drawn))
	for i := range ended {
		ended[i] = make(chan struct{})
	}
	var wait sync.WaitGroup
	for i, d := range drawn {
		wait.Go(func() {
			defer close(ended[i])
			if d.follows >= 0 {
				awaitTurn(drawn[d.follows].stage, d.turn, ended[d.follows])
			}
			d.stage.Sleep(d.startAt)
			d.play(d.stage)
		})
	}
	wait.Wait()
}

// awaitTurn waits for a turn of a trouble, or for its end.
func awaitTurn(stage *Stage, turn int, ended <-chan struct{}) {
	for range turn + 1 {
		select {
		case <-stage.turns:
		case <-ended:
			return
		}
	}
}
