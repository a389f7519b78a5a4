package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/protocol/qfendpoint"
	"quetzalfront/internal/qf/state/qfcloud"
	"quetzalfront/internal/qf/state/qfconnection"
	"quetzalfront/internal/qf/state/qfledger"
	"quetzalfront/internal/qf/state/qfobject"
	"quetzalfront/internal/qf/state/qftable"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/internal/qfsettings"
)

const (
	// maxIdlePerEndpoint and idleTimeout limit the idle connections to endpoints.
	maxIdlePerEndpoint = 256
	idleTimeout        = 30 * time.Second
	// endpointBufferBytes is the size of the read and write buffers of a connection to an
	// endpoint. It is small, because each stream holds a connection and its events are short.
	endpointBufferBytes = 1 << 10
	// maxEndpointHeaderBytes bounds the header of an endpoint's answer.
	maxEndpointHeaderBytes = 64 << 10
)

// Connect returns clients of the platform services that the settings name.
func Connect(settings *qfsettings.Settings, clock qf.Clock, network qf.Network, logger zerolog.Logger, seed uint64) Platform {
	p := &settings.Platform
	table := qftable.NewClient(p.Table, p.Timeout.Value(), network.Dial)
	cloud := qfcloud.NewClient(p.Cloud, p.VMList, p.Timeout.Value(), network.Dial)
	endpoints := &http.Client{Transport: qftelemetry.NewTracingTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint, IdleConnTimeout: idleTimeout, DialContext: qfconnection.Dial(network.Dial),
		ReadBufferSize: endpointBufferBytes, WriteBufferSize: endpointBufferBytes, MaxResponseHeaderBytes: maxEndpointHeaderBytes,
	})}
	identity := newIdentity(&settings.Security, clock)
	commitRate := &qfledger.CommitRate{PerSecond: settings.Request.LedgerCommitsPerSecond}
	engine := qfendpoint.NewEngine(endpoints)
	return Platform{
		Identity: identity,
		Clock:    clock, Network: network, Table: table, Objects: qfobject.NewClient(p.Objects, p.Timeout.Value(), network.Dial),
		VMList: cloud, Cloud: cloud,
		Engine: qfendpoint.BoundAnswers(engine, settings.Request.MaxAnswerBytes), Prober: engine, Service: qfendpoint.NewService(endpoints),
		Peer:   qfrpc.NewClient(clock, settings.Peer.Timeout.Value(), wrapDial(identity, network.Dial), nil),
		Ledger: qfledger.New(clock, table, ledgerOptions(settings, commitRate)), LedgerCommitRate: commitRate, Logger: logger,
		Random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func ledgerOptions(settings *qfsettings.Settings, commitRate *qfledger.CommitRate) qfledger.Options {
	return qfledger.Options{Retention: settings.Request.IdempotencyRecordsFor.Value(), MinCommitInterval: commitRate.MinInterval}
}
