package standtrouble

// Sentence is something that a page says that others may do, in our words.
type Sentence struct {
	ID string
	// Page is the page that says it.
	Page string
	Says string
}

// sentences are those of the pages that let somebody do what a node must cope with.
var sentences = []Sentence{
	{"run-failed", "PROTOCOL, Replicas", "an endpoint's own failure, with any status, counts as a run unless it says that it is none"},
	{"not-run", "PROTOCOL, Replicas", "an endpoint says with a header that it did not run a request"},
	{"unsigned", "PROTOCOL, Answers", "an answer without its signature is no success"},
	{"truncated", "PROTOCOL, Replicas", "an endpoint may break off its answer, also inside an event"},
	{"no-answer", "PROTOCOL, Replicas", "a connection ends, or stays silent, after a request was sent: it may have run"},
	{"extra", "PROTOCOL, Replicas", "bytes may come behind a whole answer, also an earlier answer once more"},
	{"no-length", "news", "an answer may end with its connection"},
	{"endless", "news", "a head or a body may never end"},
	{"silent", "news", "a sound endpoint falls silent for a second and goes on"},
	{"slow", "PROTOCOL, Replicas", "endpoints differ in speed, some slow down when they are full"},
	{"crash-request", "PROTOCOL, Replicas", "one request crashes each endpoint that begins to run it, and comes again at any machine"},
	{"crash-part", "news", "one part of a prompt crashes each endpoint that begins an answer on it"},
	{"leaving-word", "news", "an endpoint that leaves says so in its answers"},
	{"draining", "PROTOCOL, Service discovery", "an endpoint reports that it drains, or its row is removed while it goes on for a while"},
	{"pause", "news", "an endpoint turns a request away and names the seconds for which it wants no other"},
	{"stated-rate", "news", "an endpoint states how many requests a second it takes from all machines"},
	{"brittle", "news", "endpoints state how many rejections in a second make them fall"},
	{"reused-address", "PROTOCOL, Replicas", "an address is given to another endpoint some seconds after its owner has ended"},
	{"same-name", "PROTOCOL, Service discovery", "an endpoint starts again under its name, knowing nothing of before"},
	{"max-connections", "PROTOCOL, Replicas", "an endpoint resets connections above a number"},
	{"preempted", "PROTOCOL, Requests", "a running request is put back and read in again"},
	{"store-silent", "SYSTEM, girthline", "the store is silent, busy, or resets connections"},
	{"lapse", "PROTOCOL, Service discovery", "rows expire while the store is away and are back within two seconds"},
	{"restored", "news", "the store comes back from an older copy in a later era"},
	{"history", "PROTOCOL, The platform's metadata store", "the store no longer holds the changes that a reader asks for"},
	{"late-write", "PROTOCOL, The platform's metadata store", "a write whose answer is lost may take effect, now or later"},
	{"odd-row", "PROTOCOL, Service discovery", "another writer leaves a row that can't be read or says what can't be"},
	{"bad-version", "PROTOCOL, rollouts", "a version fails at once, later, under load or on one route"},
	{"change", "SYSTEM", "an operator changes the configuration at any time"},
	{"taken-key", "PROTOCOL, configuration", "an operator takes a key away"},
	{"holder-killed", "SYSTEM, girthline", "the machine that acted last is killed"},
	{"killed", "SYSTEM, girthline", "machines are killed, alone or together"},
	{"stopped", "SYSTEM, girthline", "machines are stopped and started in turn"},
	{"frozen", "SYSTEM, girthline", "a machine freezes and wakes again"},
	{"partition", "SYSTEM, girthline", "a machine is cut off from some or all others"},
	{"cut-from-endpoints", "news", "machines are cut off from all endpoints; their links hang or are reset"},
	{"reset", "SYSTEM, girthline", "connections are reset"},
	{"clock", "SYSTEM, girthline", "the time of day jumps on a machine"},
	{"left", "SYSTEM, girthline", "callers leave before their time is over"},
	{"odd-caller", "PROTOCOL, Requests", "callers send any bytes and numbers"},
	{"slow-caller", "PROTOCOL, Requests", "a caller sends its body slowly, or reads its answer slowly"},
	{"burst", "SYSTEM, girthline", "many callers come at once"},
}

// Sentences returns all sentences.
func Sentences() []Sentence { return append([]Sentence(nil), sentences...) }

// Unplayed returns the sentences that no trouble plays.
func Unplayed() []Sentence {
	played := map[string]bool{}
	for i := range table {
		for _, id := range table[i].Sentences {
			played[id] = true
		}
	}
	var unplayed []Sentence
	for _, s := range sentences {
		if !played[s.ID] {
			unplayed = append(unplayed, s)
		}
	}
	return unplayed
}
