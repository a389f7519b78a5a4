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
	Node     NodeSettings     `validate:"required"`
	Platform PlatformSettings `validate:"required"`
	Log      LogSettings
	Request  RequestSettings
	Peer     PeerSettings
	Feed     FeedSettings
	Route    RouteSettings
	Overload OverloadSettings
	Security SecuritySettings
}

// NodeSettings say where the node stands and listens.
type NodeSettings struct {
	// ID is the name of the node's VM.
	ID               string `validate:"required"`
	Region           string `validate:"required"`
	AvailabilityZone string `validate:"required"`
	// CallerAddress, PeerAddress and OperatorAddress are an IP and a port each.
	CallerAddress   netip.AddrPort `validate:"required"`
	PeerAddress     netip.AddrPort `validate:"required"`
	OperatorAddress netip.AddrPort `validate:"required"`
	// Seeds are peer addresses to ask before the VM list has answered.
	Seeds []netip.AddrPort
}

// PlatformSettings say where the platform's services listen.
type PlatformSettings struct {
	Table   netip.AddrPort `validate:"required"`
	Objects netip.AddrPort `validate:"required"`
	Cloud   netip.AddrPort `validate:"required"`
	VMList  netip.AddrPort `validate:"required"`
	// Timeout bounds one call to the platform.
	Timeout qfdocument.Duration `validate:"gt=0"`
}

// LogSettings say what is logged.
type LogSettings struct {
	Level string `validate:"oneof=debug info warn error"`
	// Format is "json" or "console".
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
	// MaxTokens bounds the length of an answer.
	MaxTokens int `validate:"min=1"`
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
	// MaxSuspectAttempts bounds the attempts of a request that is suspected of
	// crashing endpoints, over all nodes and repeats.
	MaxSuspectAttempts int `validate:"min=1"`
}

// PeerSettings govern the exchange between nodes.
type PeerSettings struct {
	ExchangeEvery qfdocument.Duration `validate:"gt=0"`
	// SuspectAfter and DeadAfter count from the last news of a node.
	SuspectAfter qfdocument.Duration `validate:"gt=0"`
	DeadAfter    qfdocument.Duration `validate:"gt=0"`
	Timeout      qfdocument.Duration `validate:"gt=0"`
}

// FeedSettings say how often the platform is polled.
type FeedSettings struct {
	CatalogueEvery qfdocument.Duration `validate:"gt=0"`
	VMListEvery    qfdocument.Duration `validate:"gt=0"`
	NoticesEvery   qfdocument.Duration `validate:"gt=0"`
	// LoadEvery is the interval for load reports and cache events of endpoints.
	LoadEvery   qfdocument.Duration `validate:"gt=0"`
	PricesEvery qfdocument.Duration `validate:"gt=0"`
}

// SecuritySettings say who may call the operators' and peers' ports.
type SecuritySettings struct {
	// Insecure turns certificates off. It must be set on purpose.
	Insecure bool
	// CertificateFile, KeyFile and AuthorityFile are PEM files; they are read
	// again when they change.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
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
		faults = settings.crossCheck()
	}
	return settings, faults
}

// crossCheck checks rules that span several keys.
func (s *Settings) crossCheck() []qfdocument.Fault {
	var faults []qfdocument.Fault
	if s.Peer.DeadAfter <= s.Peer.SuspectAfter {
		faults = append(faults, qfdocument.Fault{Key: "Peer.DeadAfter", Expected: "expected more than Peer.SuspectAfter"})
	}
	if s.Request.MaxTimeout < s.Request.DefaultTimeout {
		faults = append(faults, qfdocument.Fault{Key: "Request.MaxTimeout", Expected: "expected at least Request.DefaultTimeout"})
	}
	sec := s.Security
	if !sec.Insecure && (sec.CertificateFile == "" || sec.KeyFile == "" || sec.AuthorityFile == "") {
		faults = append(faults, qfdocument.Fault{
			Key:      "Security.CertificateFile",
			Expected: "expected CertificateFile, KeyFile and AuthorityFile, or Insecure = true",
		})
	}
	return faults
}
