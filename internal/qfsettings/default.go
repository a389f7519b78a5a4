package qfsettings

import (
	"time"

	"quetzalfront/internal/qf/state/qfdocument"
)

const (
	gibibyte = 1 << 30
	mebibyte = 1 << 20
	kibibyte = 1 << 10
)

// The values of TelemetrySettings.TraceExporter.
const (
	TraceExporterLog  = "log"
	TraceExporterNone = "none"
)

// Default returns settings with all defaults set. The node's identity and the addresses
// have none.
func Default() *Settings {
	return &Settings{
		Platform: PlatformSettings{Timeout: qfdocument.Duration(2 * time.Second)},
		Log:      LogSettings{Level: "info", Format: "json"},
		Request: RequestSettings{
			MaxBodyBytes:            mebibyte,
			MaxHeaderBytes:          32 * kibibyte,
			MaxInProgress:           8192,
			MaxConnections:          16384,
			MaxConnectionsOfAddress: 12288,
			MaxHeldBytes:            512 * mebibyte,
			MaxTokens:               4096,
			MaxAnswerBytes:          4 * mebibyte,
			MaxReaders:              16,
			DefaultTimeout:          qfdocument.Duration(60 * time.Second),
			MaxTimeout:              qfdocument.Duration(10 * time.Minute),
			RetainFor:               qfdocument.Duration(30 * time.Second),
			MaxAttempts:             4,
			SilentAfter:             qfdocument.Duration(5 * time.Second),
			KeepAddressesFor:        qfdocument.Duration(5 * time.Second),
			IdempotencyRecordsFor:   qfdocument.Duration(24 * time.Hour),
			LeaveWithin:             qfdocument.Duration(10 * time.Second),
			LedgerCommitsPerSecond:  350,
			MaxSuspectAttempts:      2,
			SuspectsFor:             qfdocument.Duration(10 * time.Minute),
		},
		Peer: PeerSettings{
			FullExchangeUpTo: 12,

			ExchangeEvery: qfdocument.Duration(500 * time.Millisecond),
			SuspectAfter:  qfdocument.Duration(3 * time.Second),
			DeadAfter:     qfdocument.Duration(8 * time.Second),
			Timeout:       qfdocument.Duration(time.Second),
		},
		Lease: LeaseSettings{
			Duration:    qfdocument.Duration(6 * time.Second),
			RenewEvery:  qfdocument.Duration(2 * time.Second),
			RankDelay:   qfdocument.Duration(500 * time.Millisecond),
			ClockMargin: 0.01,
		},
		Rollout: RolloutSettings{
			Within:      qfdocument.Duration(30 * time.Minute),
			WatchFor:    qfdocument.Duration(5 * time.Minute),
			LeastWithin: qfdocument.Duration(time.Minute),
		},
		Fleet: FleetSettings{
			PlanEvery:  qfdocument.Duration(5 * time.Second),
			StartTakes: qfdocument.Duration(4 * time.Minute),
		},
		Move: MoveSettings{
			KVBytesPerToken:  128 * kibibyte,
			KVBytesPerSecond: gibibyte,
			Margin:           qfdocument.Duration(500 * time.Millisecond),
		},
		Feed: FeedSettings{
			CatalogueEvery:          qfdocument.Duration(time.Second),
			CatalogueReadsPerSecond: 64,
			PlatformReadsPerSecond:  200,
			CatalogueStaleAfter:     qfdocument.Duration(30 * time.Second),
			VMListEvery:             qfdocument.Duration(time.Second),
			NoticesEvery:            qfdocument.Duration(500 * time.Millisecond),
			LoadEvery:               qfdocument.Duration(500 * time.Millisecond),
			PricesEvery:             qfdocument.Duration(30 * time.Second),
		},
		Overload: OverloadSettings{
			InteractiveQueue: qfdocument.Duration(1500 * time.Millisecond),
			BatchQueue:       qfdocument.Duration(500 * time.Millisecond),
		},
		Route: RouteSettings{
			ZoneDelay:     qfdocument.Duration(1500 * time.Microsecond),
			RegionDelay:   qfdocument.Duration(30 * time.Millisecond),
			TrafficPrice:  80,
			CacheFor:      qfdocument.Duration(5 * time.Minute),
			CachePrefixes: 32768,
		},
		Security:  SecuritySettings{MaxConnections: 2048, ReloadEvery: qfdocument.Duration(10 * time.Second)},
		Telemetry: TelemetrySettings{TraceExporter: TraceExporterLog, TraceRatio: 0.01, MaxTracesPerSecond: 10},
	}
}
