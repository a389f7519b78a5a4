package qf

import (
	"context"
	"net/netip"
	"time"
)

// EntryKind is the kind of endpoints that serve an entry.
type EntryKind string

// The kinds of entries.
const (
	KindModelEngine  EntryKind = "ModelEngine"
	KindPlainService EntryKind = "PlainService"
)

// Endpoint is one back end that serves an entry.
type Endpoint struct {
	ID               EndpointID
	VM               VMID
	Incarnation      Incarnation
	Kind             EntryKind
	Entry            EntryName
	Version          Version
	Region           Region
	AvailabilityZone AvailabilityZone
	Class            VMClass
	Address          netip.AddrPort
	ChecksFencing    bool
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest asks a model engine for tokens.
type GenerateRequest struct {
	Request      RequestID
	Attempt      AttemptID
	Entry        EntryName
	Organisation Organisation
	Messages     []Message
	// MaxTokens bounds the whole answer, resumed tokens included.
	MaxTokens int
	// Priority orders work in the engine; a higher one goes first.
	Priority int
	// ResumeText is the text of the answer that the caller already has; the
	// engine continues after it.
	ResumeText string
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens int
	// KVHandle names imported KV cache for the resumed text, if any.
	KVHandle string
	Deadline time.Time
	AttemptOptions
}

// StreamChunk is one chunk of a streamed answer.
type StreamChunk struct {
	// Attempt echoes the attempt's identifier.
	Attempt AttemptID
	// Offset is the index of this chunk's token in the whole answer, from 0.
	Offset int
	Text   string
	// End marks the end of the whole answer. Text is empty and Offset is the
	// number of tokens in the answer.
	End          bool
	FinishReason string
	// CachedTokens and ComputedTokens count the prompt and resumed tokens that
	// the engine found in its cache and had to compute. They are set in the first
	// chunk of an attempt.
	CachedTokens   int
	ComputedTokens int
}

// ChunkStream delivers the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk. io.EOF means that the stream ended; unless a
	// chunk with End set came before it, the answer is incomplete.
	Next(ctx context.Context) (StreamChunk, error)
	// Close cancels the attempt at the engine if it isn't complete.
	Close() error
}

// LoadReport is an endpoint's report of its load. It lags behind the actual load.
type LoadReport struct {
	Endpoint EndpointID
	// Sequence rises with each report of one incarnation.
	Sequence uint64
	// At is when the endpoint made the report, by its clock.
	At time.Time
	// Running and Queued count requests.
	Running, Queued int
	// QueuedTokens counts the prompt tokens that wait for prefill.
	QueuedTokens int
	// FreeKVTokens is the free space of the KV cache, in tokens.
	FreeKVTokens int
	// Slowdown is how many times as long as usual work takes on the endpoint's VM at the time of the report; 0 means
	// that it isn't stated.
	Slowdown float64
	// Slots is the number of requests that the endpoint runs at once; 0 means that it isn't stated.
	Slots    int
	Entry    EntryName
	Version  Version
	Adapters []string
	Role     EngineRole
	Leaving  bool
}

// EngineRole states which phases of a request an engine serves.
type EngineRole string

// The roles of an engine.
const (
	EngineMixed   EngineRole = "Mixed"
	EnginePrefill EngineRole = "Prefill"
	EngineDecode  EngineRole = "Decode"
)

// CacheEventKind is the kind of change that a cache event reports.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
	CacheCleared CacheEventKind = "Cleared"
)

// CacheEvent reports a change of an engine's prefix cache.
type CacheEvent struct {
	Endpoint EndpointID
	// Sequence rises by one with each event; a gap means lost events.
	Sequence uint64
	Kind     CacheEventKind
	// Prefix is the hash of the cached prefix.
	Prefix uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// Order is the desired state of an endpoint.
type Order struct {
	// Fencing is the fencing number of the lease under which the order is sent.
	Fencing  FencingNumber
	Entry    EntryName
	Version  Version
	Adapters []string
	Role     EngineRole
	// Leave means that the endpoint should drain: finish its requests and accept no
	// more.
	Leave bool
}

// KVExport is a snapshot of an attempt's KV cache.
type KVExport struct {
	Handle string
	Tokens int
	Bytes  uint64
	Body   []byte
}

// EngineClient sends requests and orders to model engines.
type EngineClient interface {
	// StartGeneration starts an attempt. An *Error with RanNo means that the engine
	// provably didn't start it.
	StartGeneration(ctx context.Context, endpoint Endpoint, request GenerateRequest) (ChunkStream, error)
	FetchLoad(ctx context.Context, endpoint Endpoint) (LoadReport, error)
	// FetchCacheEvents returns the events whose sequence is higher than after.
	FetchCacheEvents(ctx context.Context, endpoint Endpoint, after uint64) ([]CacheEvent, error)
	// SendOrder sends an order and returns the load of the endpoint that applied it.
	SendOrder(ctx context.Context, endpoint Endpoint, order Order) Result[LoadReport]
	ExportKV(ctx context.Context, endpoint Endpoint, attempt AttemptID) (KVExport, error)
	ImportKV(ctx context.Context, endpoint Endpoint, export KVExport) error
}

// ServiceCall is one HTTP call of a plain service.
type ServiceCall struct {
	Request      RequestID
	Attempt      AttemptID
	Organisation Organisation
	Method       string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	Body        []byte
	Deadline    time.Time
	AttemptOptions
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Attempt     AttemptID
	Status      int
	ContentType string
	Body        []byte
}

// ServiceClient sends calls to plain services.
type ServiceClient interface {
	// CallService runs the call. NotDone means that it provably didn't run.
	CallService(ctx context.Context, endpoint Endpoint, call ServiceCall) Result[ServiceResponse]
	// FetchStatus returns the outcome of an attempt: Done with its answer, NotDone if
	// the service provably hasn't run it and never will, Unknown otherwise.
	FetchStatus(ctx context.Context, endpoint Endpoint, attempt AttemptID) Result[ServiceResponse]
	FetchLoad(ctx context.Context, endpoint Endpoint) (LoadReport, error)
}
