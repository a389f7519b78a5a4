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
	"quetzalfront/internal/qf/state/qftable"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/qfsettings"
)

const (
	maxIdlePerEndpoint = 256
	idleTimeout        = 30 * time.Second
)

// Connect returns the platform that the settings name.
func Connect(settings *qfsettings.Settings, timer qf.Timer, logger zerolog.Logger, seed uint64) Platform {
	p := &settings.Platform
	table := qftable.NewClient(p.Table, p.Timeout.Value())
	cloud := qfcloud.NewClient(p.Cloud, p.VMList, p.Timeout.Value())
	endpoints := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint, IdleConnTimeout: idleTimeout,
	}}
	engine := qfendpoint.NewEngine(endpoints)
	return Platform{
		Timer: timer, Table: table, VMList: cloud, Cloud: cloud,
		Engine: engine, Prober: engine, Service: qfendpoint.NewService(endpoints),
		Peer:   qfrpc.NewClient(timer, settings.Peer.Timeout.Value(), nil),
		Ledger: qfledger.New(timer, table, ledgerOptions(settings)), Logger: logger,
		Random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// ledgerOptions spread the table's writes for the ledger evenly over time.
func ledgerOptions(settings *qfsettings.Settings) qfledger.Options {
	every := settings.Request.LedgerCommitEvery.Value()
	return qfledger.Options{
		RecordsFor:  settings.Request.IdempotencyRecordsFor.Value(),
		CommitEvery: func() time.Duration { return every },
	}
}
