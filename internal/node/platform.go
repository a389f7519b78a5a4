package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/state/qfcloud"
	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qfobject"
	"quetzalfront/internal/qf/state/qftable"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/internal/qfsettings"
)

const (
	maxIdlePerEndpoint = 256
	idleTimeout        = 30 * time.Second
	// endpointBufferBytes is small, because every stream holds a connection whose
	// events are short.
	endpointBufferBytes = 1 << 10
)

// Connect returns the platform that the settings name.
func Connect(settings *qfsettings.Settings, timer qf.Clock, network qf.Network, logger zerolog.Logger, seed uint64) Platform {
	p := &settings.Platform
	table := qftable.NewClient(p.Table, p.Timeout.Value(), network.Dial)
	cloud := qfcloud.NewClient(p.Cloud, p.VMList, p.Timeout.Value(), network.Dial)
	endpoints := &http.Client{Transport: qftelemetry.NewTracingTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint, IdleConnTimeout: idleTimeout, DialContext: network.Dial,
		ReadBufferSize: endpointBufferBytes, WriteBufferSize: endpointBufferBytes,
	})}
	identity := newIdentity(&settings.Security, timer)
	pace := &qfledger.CommitRate{PerSecond: settings.Request.LedgerCommitsPerSecond}
	engine := qfendpoint.NewEngine(endpoints)
	return Platform{
		Identity: identity,
		Timer:    timer, Network: network, Table: table, Objects: qfobject.NewClient(p.Objects, p.Timeout.Value(), network.Dial),
		VMList: cloud, Cloud: cloud,
		Engine: qfendpoint.BoundAnswers(engine, settings.Request.MaxAnswerBytes), Prober: engine, Service: qfendpoint.NewService(endpoints),
		Peer:   qfrpc.NewClient(timer, settings.Peer.Timeout.Value(), peerDial(identity, network.Dial), nil),
		Ledger: qfledger.New(timer, table, ledgerOptions(settings, pace)), LedgerPace: pace, Logger: logger,
		Random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func ledgerOptions(settings *qfsettings.Settings, pace *qfledger.CommitRate) qfledger.Options {
	return qfledger.Options{Retention: settings.Request.IdempotencyRecordsFor.Value(), MinCommitInterval: pace.MinInterval}
}
