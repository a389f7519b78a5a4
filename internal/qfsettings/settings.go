// Package qfsettings holds the settings of a node: what they are, their
// defaults, and the checks that run before a node starts.
package qfsettings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
)

// Settings are the settings of one node. Everything but Node and Platform has
// a default.
type Settings struct {
	Node      NodeSettings     `validate:"required"`
	Platform  PlatformSettings `validate:"required"`
	Log       LogSettings
	Request   RequestSettings
	Peer      PeerSettings
	Feed      FeedSettings
	Lease     LeaseSettings
	Rollout   RolloutSettings
	Fleet     FleetSettings
	Move      MoveSettings
	Route     RouteSettings
	Overload  OverloadSettings
	Security  SecuritySettings
	Telemetry TelemetrySettings
}

// NodeSettings say where the node stands and listens.
type NodeSettings struct {
	// ID is the name of the node's VM.
	ID string `validate:"required"`
	// Region and AvailabilityZone say where the VM stands, as the cloud names
	// them.
	Region           string `validate:"required"`
	AvailabilityZone string `validate:"required"`
	// CallerAddress is where callers connect.
	CallerAddress netip.AddrPort `validate:"required"`
	// PeerAddress is where other entry nodes connect.
	PeerAddress netip.AddrPort `validate:"required"`
	// OperatorAddress is where operators, probes and metric collectors connect.
	OperatorAddress netip.AddrPort `validate:"required"`
	// Seeds are peer addresses to ask before the VM list has answered.
	Seeds []netip.AddrPort
	// SecondSignalAborts makes a second SIGTERM or SIGINT end the node at once,
	// answers in progress included. Without it only the first one counts.
	SecondSignalAborts bool
}

// PlatformSettings say where the platform's services listen.
type PlatformSettings struct {
	// Table is the transactional table service.
	Table netip.AddrPort `validate:"required"`
	// Objects is the object store.
	Objects netip.AddrPort `validate:"required"`
	// Cloud is the cloud API, with prices, starts and notices.
	Cloud netip.AddrPort `validate:"required"`
	// VMList is the list of live and leaving VMs.
	VMList netip.AddrPort `validate:"required"`
	// Timeout bounds one call to the platform.
	Timeout qfdocument.Duration `validate:"gt=0"`
}

// LogSettings say what is logged.
type LogSettings struct {
	// Level is the least severe level that is logged.
	Level string `validate:"oneof=debug info warn error"`
	// Format is "json" for programs or "console" for people.
	Format string `validate:"oneof=json console"`
}

// RequestSettings bound the requests of callers.
type RequestSettings struct {
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its headers.
	MaxBodyBytes   int64 `validate:"min=1024"`
	MaxHeaderBytes int   `validate:"min=1024"`
	// MaxInProgress bounds the accepted requests that haven't ended.
	MaxInProgress int `validate:"min=1"`
	// MaxConnections bounds the callers' open connections.
	MaxConnections int `validate:"min=1"`
	// MaxTokens bounds the length of an answer in tokens, MaxAnswerBytes its text.
	MaxTokens      int `validate:"min=1"`
	MaxAnswerBytes int `validate:"min=1024"`
	// MaxReaders bounds the connections that read the answer of one request.
	MaxReaders int `validate:"min=1"`
	// DefaultTimeout is used where neither the caller nor the catalogue gives a
	// deadline; MaxTimeout bounds what a caller may ask for.
	DefaultTimeout qfdocument.Duration `validate:"gt=0"`
	MaxTimeout     qfdocument.Duration `validate:"gt=0"`
	// RetainFor is how long an ended request can still be resumed or looked up.
	RetainFor qfdocument.Duration `validate:"gt=0"`
	// MaxAttempts bounds the attempts of one request, moves after an announced
	// departure not counted.
	MaxAttempts int `validate:"min=1"`
	// SilentAfter is how long an attempt may make no progress before it counts
	// as broken.
	SilentAfter qfdocument.Duration `validate:"gt=0"`
	// KeepAddressesFor is how long callers may keep an address answer.
	KeepAddressesFor qfdocument.Duration `validate:"gt=0"`
	// IdempotencyRecordsFor is how long the outcome of a once-only request is
	// kept.
	IdempotencyRecordsFor qfdocument.Duration `validate:"gt=0"`
	// LeaveWithin is how long after its intent a once-only attempt may leave. A
	// node that was paused for longer asks the ledger again.
	LeaveWithin qfdocument.Duration `validate:"gt=0"`
	// LedgerCommitsPerSecond is the number of transactions in which all nodes
	// together may record intents and outcomes.
	LedgerCommitsPerSecond int `validate:"min=1"`
	// MaxSuspectAttempts bounds the attempts of a request that is suspected of
	// crashing endpoints, over all nodes and repeats.
	MaxSuspectAttempts int `validate:"min=1"`
	// SuspectsFor is how long a suspicion lasts after its latest news.
	SuspectsFor qfdocument.Duration `validate:"gt=0"`
}

// PeerSettings govern the exchange between nodes.
type PeerSettings struct {
	// FullExchangeUpTo is the greatest number of nodes that all tell each other
	// everything. Larger fleets exchange within zones and through relays.
	FullExchangeUpTo int `validate:"min=1"`
	// ExchangeEvery is the time between two exchanges of news.
	ExchangeEvery qfdocument.Duration `validate:"gt=0"`
	// SuspectAfter and DeadAfter count from the last news of a node.
	SuspectAfter qfdocument.Duration `validate:"gt=0"`
	DeadAfter    qfdocument.Duration `validate:"gt=0"`
	// Timeout bounds one call to a peer.
	Timeout qfdocument.Duration `validate:"gt=0"`
}

// FeedSettings say how often the platform is polled.
type FeedSettings struct {
	// CatalogueEvery is the least time between two reads of the catalogue's
	// revision by one node.
	CatalogueEvery qfdocument.Duration `validate:"gt=0"`
	// VMListEvery is the time between two reads of the VM list.
	VMListEvery qfdocument.Duration `validate:"gt=0"`
	// NoticesEvery is the time between two reads of the cloud's notices.
	NoticesEvery qfdocument.Duration `validate:"gt=0"`
	// LoadEvery is the time between two reads of an endpoint's load and of its
	// cache events.
	LoadEvery qfdocument.Duration `validate:"gt=0"`
	// PricesEvery is the time between two reads of the cloud's prices.
	PricesEvery qfdocument.Duration `validate:"gt=0"`
	// PlatformReadsPerSecond bounds the reads of the VM list by all nodes, and
	// likewise those of the notices and of the prices.
	PlatformReadsPerSecond int `validate:"min=1"`
	// CatalogueReadsPerSecond bounds the reads of the revision by all nodes.
	CatalogueReadsPerSecond int `validate:"min=1"`
	// CatalogueStaleAfter is the age of the last news of the catalogue from which
	// on a node raises no version's share and gives no orders.
	CatalogueStaleAfter qfdocument.Duration `validate:"gt=0"`
}

// LeaseSettings govern who may act for all nodes. They must be the same at all
// nodes.
type LeaseSettings struct {
	// Duration is how long one write keeps a lease; RenewEvery is the time
	// between two renewals.
	Duration   qfdocument.Duration `validate:"gt=0"`
	RenewEvery qfdocument.Duration `validate:"gt=0"`
	// RankDelay keeps a candidate back for each better one.
	RankDelay qfdocument.Duration `validate:"gt=0"`
	// ClockMargin is the share by which two nodes' clocks may differ in rate.
	ClockMargin float64 `validate:"gte=0,lte=0.5"`
}

// FleetSettings govern the purchase of VMs. They must be the same at all nodes.
type FleetSettings struct {
	// PlanEvery is the time between two plans.
	PlanEvery qfdocument.Duration `validate:"gt=0"`
	// StartTakes is the time from the order of a VM to its first request.
	StartTakes qfdocument.Duration `validate:"gt=0"`
}

// RolloutSettings give the times of rollouts for which the catalogue gives none.
type RolloutSettings struct {
	// Within is the time in which traffic moves if an entry has no MoveBy.
	Within qfdocument.Duration `validate:"gt=0"`
	// WatchFor is how long the old version is kept if an entry has no WatchFor.
	WatchFor qfdocument.Duration `validate:"gt=0"`
	// LeastWithin is the time that moving takes even if MoveBy is nearer, or past.
	LeastWithin qfdocument.Duration `validate:"gt=0"`
}

// MoveSettings govern how answers leave model engines that will be reclaimed.
type MoveSettings struct {
	// KVBytesPerToken is the size of one token's KV cache.
	KVBytesPerToken uint64 `validate:"min=1"`
	// KVBytesPerSecond is the rate at which an engine is expected to export KV
	// cache until exports have been seen; 0 turns exports off.
	KVBytesPerSecond uint64
	// Margin is kept free before an engine is taken.
	Margin qfdocument.Duration `validate:"gt=0"`
}

// SecuritySettings say who may call the operators' and peers' ports.
type SecuritySettings struct {
	// Insecure turns certificates off. It must be set on purpose.
	Insecure bool
	// CertificateFile, KeyFile and AuthorityFile are PEM files: the node's
	// certificate, its key, and the authorities by which others are judged.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// MaxConnections bounds the open connections of the peers' port, and those of
	// the operators' port.
	MaxConnections int `validate:"min=1"`
	// ReloadEvery is the time between two looks at the files for a change.
	ReloadEvery qfdocument.Duration `validate:"gt=0"`
}

// TelemetrySettings bound the traces of requests. Metrics are always on.
type TelemetrySettings struct {
	// TraceExporter is where spans go: "log" writes each as event 151, "none"
	// turns traces off.
	TraceExporter string `validate:"oneof=log none"`
	// TraceRatio is the share of requests that are traced, of those whose caller
	// doesn't decide it in its trace context.
	TraceRatio float64 `validate:"min=0,max=1"`
	// MaxTracesPerSecond bounds the traced requests, those that callers ask for
	// included.
	MaxTracesPerSecond float64 `validate:"gt=0"`
}

// RouteSettings describe the links and the prices that routing weighs.
type RouteSettings struct {
	// ZoneDelay is the one-way delay between availability zones of a region.
	ZoneDelay qfdocument.Duration `validate:"gte=0"`
	// RegionDelay is the one-way delay between regions.
	RegionDelay qfdocument.Duration `validate:"gte=0"`
	// TrafficPrice is the price of a gibibyte between regions, in thousandths of
	// the currency unit.
	TrafficPrice float64 `validate:"gte=0"`
	// CacheFor is how long a cached prefix is believed in without news of it.
	CacheFor qfdocument.Duration `validate:"gt=0"`
	// CachePrefixes is the number of prefixes that the index has room for.
	CachePrefixes int `validate:"min=1,max=1048576"`
}

// OverloadSettings bound the predicted time in an endpoint's queue, by class.
// Critical requests are bound by their deadline alone.
type OverloadSettings struct {
	// InteractiveQueue is the bound for interactive requests.
	InteractiveQueue qfdocument.Duration `validate:"gt=0"`
	// BatchQueue is the bound for batch requests.
	BatchQueue qfdocument.Duration `validate:"gt=0"`
}

// Zone returns the node's availability zone.
func (n *NodeSettings) Zone() qf.AvailabilityZone { return qf.AvailabilityZone(n.AvailabilityZone) }

// Check reads and checks a settings file. It returns every fault at once.
func Check(path string) (*Settings, []qfdocument.Fault, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, nil, qf.NewError(qf.CodeNotFound, qf.StepSettings, path, err.Error())
	}
	settings, faults := Parse(data)
	return settings, faults, nil
}

// Load reads a settings file and fails with all of its faults in one error.
func Load(path string) (*Settings, error) {
	settings, faults, err := Check(path)
	if err != nil {
		return nil, err
	}
	if len(faults) == 0 {
		return settings, nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s: %s", path, f))
	}
	return nil, &qf.Error{
		Code: qf.CodeInvalid, Step: qf.StepSettings, Peer: path, Field: faults[0].Key,
		Reason: "the settings have faults:\n" + strings.Join(lines, "\n"),
	}
}

// Parse decodes settings over the defaults and checks them.
func Parse(data []byte) (*Settings, []qfdocument.Fault) {
	settings := Default()
	faults := qfdocument.Decode(data, settings)
	if len(faults) == 0 {
		faults = settings.crossCheck(qfdocument.NewLineIndex(data))
	}
	return settings, faults
}

// crossCheck checks rules that span several keys.
func (s *Settings) crossCheck(index *qfdocument.LineIndex) []qfdocument.Fault {
	var faults []qfdocument.Fault
	add := func(key, expected string) {
		faults = append(faults, qfdocument.Fault{Line: index.Line(key), Key: key, Expected: expected})
	}
	if s.Peer.DeadAfter <= s.Peer.SuspectAfter {
		add("Peer.DeadAfter", "expected more than Peer.SuspectAfter")
	}
	if s.Request.MaxTimeout < s.Request.DefaultTimeout {
		add("Request.MaxTimeout", "expected at least Request.DefaultTimeout")
	}
	if s.Request.IdempotencyRecordsFor <= s.Request.MaxTimeout+s.Request.LeaveWithin {
		faults = append(faults, qfdocument.Fault{
			Key:      "Request.IdempotencyRecordsFor",
			Expected: "expected more than Request.MaxTimeout and Request.LeaveWithin together",
		})
	}
	if 2*s.Lease.RenewEvery >= s.Lease.Duration {
		faults = append(faults, qfdocument.Fault{Key: "Lease.RenewEvery", Expected: "expected less than half of Lease.Duration"})
	}
	sec := s.Security
	if !sec.Insecure && (sec.CertificateFile == "" || sec.KeyFile == "" || sec.AuthorityFile == "") {
		add("Security.CertificateFile", "expected CertificateFile, KeyFile and AuthorityFile, or Insecure = true")
	}
	return faults
}
