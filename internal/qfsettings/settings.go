// Package qfsettings defines the settings of a node, their defaults, and the checks that
// run before a node starts.
package qfsettings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfdocument"
)

// Settings are the settings of one node. All but the identity of the node, and the
// addresses of the node and the platform, have a default.
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

// NodeSettings state where the node runs and listens.
type NodeSettings struct {
	// ID is the name of the node's VM.
	ID string `validate:"required"`
	// Region and AvailabilityZone are those of the VM, as the cloud names them.
	Region           string `validate:"required"`
	AvailabilityZone string `validate:"required"`
	// CallerAddress is the address on which the node listens for callers.
	CallerAddress netip.AddrPort `validate:"required"`
	// PeerAddress is the address on which the node listens for other entry nodes.
	PeerAddress netip.AddrPort `validate:"required"`
	// OperatorAddress is the address on which the node listens for operators, health
	// probes and metric collectors.
	OperatorAddress netip.AddrPort `validate:"required"`
	// Seeds are addresses of peers that the node contacts before it has read the VM list.
	Seeds []netip.AddrPort
	// SecondSignalAborts makes a second SIGTERM or SIGINT stop the node at once, without
	// finishing the answers in progress. If it isn't set, a second signal is ignored.
	SecondSignalAborts bool
}

// PlatformSettings state the addresses of the platform's services.
type PlatformSettings struct {
	// Table is the transactional table service.
	Table netip.AddrPort `validate:"required"`
	// Objects is the object store.
	Objects netip.AddrPort `validate:"required"`
	// Cloud is the cloud API, which has prices and notices and starts VMs.
	Cloud netip.AddrPort `validate:"required"`
	// VMList is the service that lists running VMs and those about to leave.
	VMList netip.AddrPort `validate:"required"`
	// Timeout bounds one call to the platform.
	Timeout qfdocument.Duration `validate:"gt=0"`
}

// LogSettings state what is logged and in which format.
type LogSettings struct {
	// Level is the lowest severity that is logged.
	Level string `validate:"oneof=debug info warn error"`
	// Format is "json" for programs or "console" for people.
	Format string `validate:"oneof=json console"`
}

// RequestSettings limit the requests of callers.
type RequestSettings struct {
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its headers.
	MaxBodyBytes   int64 `validate:"min=1024"`
	MaxHeaderBytes int   `validate:"min=1024"`
	// MaxInProgress bounds the accepted requests that haven't ended.
	MaxInProgress int `validate:"min=1"`
	// MaxConnections bounds the callers' open connections, MaxConnectionsOfAddress those that come from one address. Above it the
	// connection that has been longest without a complete request is closed; a new one is refused if all have a request in progress.
	MaxConnections          int `validate:"min=1"`
	MaxConnectionsOfAddress int `validate:"min=1"`
	// MaxHeldBytes bounds the estimated memory of the callers' connections, with what has arrived of their requests. What is done
	// above it is the same.
	MaxHeldBytes int64 `validate:"min=1048576"`
	// MaxTokens bounds the length of an answer in tokens, MaxAnswerBytes its text.
	MaxTokens      int `validate:"min=1"`
	MaxAnswerBytes int `validate:"min=1024"`
	// MaxReaders bounds the connections that read the answer of one request.
	MaxReaders int `validate:"min=1"`
	// DefaultTimeout is used if neither the caller nor the catalogue sets a deadline;
	// MaxTimeout bounds the timeout that a caller may set.
	DefaultTimeout qfdocument.Duration `validate:"gt=0"`
	MaxTimeout     qfdocument.Duration `validate:"gt=0"`
	// RetainFor is how long an ended request can still be resumed or looked up.
	RetainFor qfdocument.Duration `validate:"gt=0"`
	// MaxAttempts bounds the attempts of one request. Moves after an announced departure
	// of an endpoint aren't counted.
	MaxAttempts int `validate:"min=1"`
	// SilentAfter is how long an attempt may go without progress before it counts as
	// broken.
	SilentAfter qfdocument.Duration `validate:"gt=0"`
	// KeepAddressesFor is how long callers may cache the addresses of nodes.
	KeepAddressesFor qfdocument.Duration `validate:"gt=0"`
	// IdempotencyRecordsFor is how long the outcome of a once-only request is
	// kept.
	IdempotencyRecordsFor qfdocument.Duration `validate:"gt=0"`
	// LeaveWithin is how long after its intent was recorded a once-only attempt may be
	// sent. A node that was paused for longer reads the ledger again.
	LeaveWithin qfdocument.Duration `validate:"gt=0"`
	// LedgerCommitsPerSecond bounds the transactions that record intents and outcomes,
	// over all nodes.
	LedgerCommitsPerSecond int `validate:"min=1"`
	// MaxSuspectAttempts bounds the attempts of a request that is suspected of
	// crashing endpoints, over all nodes and repeats.
	MaxSuspectAttempts int `validate:"min=1"`
	// SuspectsFor is how long a suspicion lasts after its latest update.
	SuspectsFor qfdocument.Duration `validate:"gt=0"`
}

// PeerSettings control gossip between nodes.
type PeerSettings struct {
	// FullExchangeUpTo is the largest number of nodes at which every node exchanges full
	// digests with every other. Larger fleets exchange within zones and through relays.
	FullExchangeUpTo int `validate:"min=1"`
	// ExchangeEvery is the time between two exchanges of digests.
	ExchangeEvery qfdocument.Duration `validate:"gt=0"`
	// SuspectAfter and DeadAfter are how long after its last heartbeat a node is suspected,
	// and considered dead.
	SuspectAfter qfdocument.Duration `validate:"gt=0"`
	DeadAfter    qfdocument.Duration `validate:"gt=0"`
	// Timeout bounds one call to a peer.
	Timeout qfdocument.Duration `validate:"gt=0"`
}

// FeedSettings state how often the platform is polled.
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
	// CatalogueStaleAfter is the age of a node's information about the catalogue at which
	// the node stops raising the traffic shares of versions and giving orders.
	CatalogueStaleAfter qfdocument.Duration `validate:"gt=0"`
}

// LeaseSettings control the leases by which one node acts for all. They must be the same
// on all nodes.
type LeaseSettings struct {
	// Duration is how long a lease is valid after a write; RenewEvery is the time
	// between two renewals.
	Duration   qfdocument.Duration `validate:"gt=0"`
	RenewEvery qfdocument.Duration `validate:"gt=0"`
	// RankDelay is the delay of a candidate for each candidate that ranks above it.
	RankDelay qfdocument.Duration `validate:"gt=0"`
	// ClockMargin is the largest relative difference in rate between two nodes' clocks.
	ClockMargin float64 `validate:"gte=0,lte=0.5"`
}

// FleetSettings control the purchase of VMs. They must be the same on all nodes.
type FleetSettings struct {
	// PlanEvery is the time between two plans.
	PlanEvery qfdocument.Duration `validate:"gt=0"`
	// StartTakes is the expected time from the order of a VM to its first request.
	StartTakes qfdocument.Duration `validate:"gt=0"`
}

// RolloutSettings are the durations of rollouts for which the catalogue sets none.
type RolloutSettings struct {
	// Within is the time in which traffic moves to the new version if an entry has no
	// MoveBy.
	Within qfdocument.Duration `validate:"gt=0"`
	// WatchFor is how long the old version is kept if an entry has no WatchFor.
	WatchFor qfdocument.Duration `validate:"gt=0"`
	// LeastWithin is the least time that moving takes, even if MoveBy is sooner or has
	// passed.
	LeastWithin qfdocument.Duration `validate:"gt=0"`
}

// MoveSettings control how answers are moved away from model engines that will be
// reclaimed.
type MoveSettings struct {
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken uint64 `validate:"min=1"`
	// KVBytesPerSecond is the assumed rate at which an engine exports its KV cache, until
	// exports have been measured; 0 disables exports.
	KVBytesPerSecond uint64
	// Margin is how long before an engine is reclaimed its moves are planned to end.
	Margin qfdocument.Duration `validate:"gt=0"`
}

// SecuritySettings state who may connect to the operators' and peers' ports.
type SecuritySettings struct {
	// Insecure disables certificates. It must be set explicitly.
	Insecure bool
	// CertificateFile, KeyFile and AuthorityFile are PEM files: the node's
	// certificate, its key, and the CA certificates that verify others.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// MaxConnections bounds the open connections of the peers' port, and likewise those
	// of the operators' port.
	MaxConnections int `validate:"min=1"`
	// ReloadEvery is the time between two checks of the files for a change.
	ReloadEvery qfdocument.Duration `validate:"gt=0"`
}

// TelemetrySettings limit the traces of requests. Metrics are always enabled.
type TelemetrySettings struct {
	// TraceExporter is the destination of spans: "log" writes each as event 151, "none"
	// disables traces.
	TraceExporter string `validate:"oneof=log none"`
	// TraceRatio is the share of requests that are traced, of those without a trace
	// context of their caller.
	TraceRatio float64 `validate:"min=0,max=1"`
	// MaxTracesPerSecond bounds the traced requests, including those that callers sample.
	MaxTracesPerSecond float64 `validate:"gt=0"`
}

// RouteSettings state the delays and prices that routing takes into account.
type RouteSettings struct {
	// ZoneDelay is the one-way delay between availability zones of a region.
	ZoneDelay qfdocument.Duration `validate:"gte=0"`
	// RegionDelay is the one-way delay between regions.
	RegionDelay qfdocument.Duration `validate:"gte=0"`
	// TrafficPrice is the price of a gibibyte between regions, in thousandths of
	// the currency unit.
	TrafficPrice float64 `validate:"gte=0"`
	// CacheFor is how long a prefix is assumed to be cached after its last cache event.
	CacheFor qfdocument.Duration `validate:"gt=0"`
	// CachePrefixes is the capacity of the prefix index.
	CachePrefixes int `validate:"min=1,max=1048576"`
}

// OverloadSettings limit the predicted time in an endpoint's queue, by class. Critical
// requests are limited only by their deadline.
type OverloadSettings struct {
	// InteractiveQueue is the limit for interactive requests.
	InteractiveQueue qfdocument.Duration `validate:"gt=0"`
	// BatchQueue is the limit for batch requests.
	BatchQueue qfdocument.Duration `validate:"gt=0"`
}

// Zone returns the node's availability zone.
func (n *NodeSettings) Zone() qf.AvailabilityZone { return qf.AvailabilityZone(n.AvailabilityZone) }

// Check reads and checks a settings file. It returns all faults.
func Check(path string) (*Settings, []qfdocument.Fault, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, nil, qf.NewError(qf.CodeNotFound, qf.StepSettings, path, err.Error())
	}
	settings, faults := Parse(data)
	return settings, faults, nil
}

// Load reads and checks a settings file. All faults are reported in one error.
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

// Parse decodes settings, fills in the defaults and checks the result.
func Parse(data []byte) (*Settings, []qfdocument.Fault) {
	settings := Default()
	faults := qfdocument.Decode(data, settings)
	if len(faults) == 0 {
		faults = settings.crossCheck(qfdocument.NewLineIndex(data))
	}
	return settings, faults
}

// crossCheck checks the rules that involve several keys.
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
