package contract

import (
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qfrpc"
	"quetzalfront/internal/standin/standnet"
)

// answeringPeer answers calls after a delay. It embeds the interface for the
// methods that the contract doesn't use.
type answeringPeer struct {
	qfrpc.Handler
	mu    sync.Mutex
	takes time.Duration
	taken []qf.RequestID
}

func (p *answeringPeer) setTakes(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takes = d
}

func (p *answeringPeer) pause() {
	p.mu.Lock()
	takes := p.takes
	p.mu.Unlock()
	sleep(takes)
}

func (p *answeringPeer) Exchange(digest qf.Digest) qf.Digest {
	p.pause()
	return qf.Digest{From: qf.Node{ID: "peer"}, Departures: digest.Departures}
}

func (p *answeringPeer) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	p.pause()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		p.taken = append(p.taken, records[i].Request.ID)
	}
	return p.taken
}

func (p *answeringPeer) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	if id != sentRecord.Request.ID {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, "", "")
	}
	return sentRecord, nil
}

func (p *answeringPeer) CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision) {
	if revision >= 7 {
		return nil, 7
	}
	return []byte("snapshot"), 7
}

var sentRecord = qf.RequestRecord{
	Request: qf.Request{
		ID: "request-1", Entry: "assistant", Kind: qf.KindModelEngine,
		Messages: []qf.Message{{Role: "user", Content: "shisham"}}, MaxTokens: 8,
	},
	Generation: 3, Owner: "node-1", TimeLeft: 40 * time.Second, Text: []string{"a ", "b "}, Attempts: 2,
}

// peer is one implementation of the client's end, with the peer that it calls
// and the network between them.
type peer struct {
	qf.PeerClient
	handler *answeringPeer
	network *standnet.Network
}

var peers = map[string]func(t *testing.T) peer{
	"net/rpc": func(t *testing.T) peer {
		p := peer{handler: &answeringPeer{}, network: standnet.New()}
		listener, err := p.network.From(serverAddress.Addr()).Listen(t.Context(), serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if err := qfrpc.Serve(listener, p.handler); err != nil {
				t.Errorf("serve: %v", err)
			}
		}()
		client := qfrpc.NewClient(qftimer.NewWall(), callTimeout, p.network.From(clientAddress).Dial, nil)
		t.Cleanup(func() {
			client.Close()
			_ = listener.Close()
			p.network.Close()
		})
		p.PeerClient = client
		return p
	},
}

func everyLink(netip.Addr, netip.Addr) bool { return true }

func TestPeerHandOver(t *testing.T) {
	tests := []struct {
		name      string
		address   netip.AddrPort
		takes     time.Duration
		fault     func(n *standnet.Network)
		certainty qf.Certainty
		code      qf.Code
	}{
		{"answered", serverAddress, 0, nil, qf.Done, ""},
		{"slow but in time", serverAddress, callTimeout / 2, nil, qf.Done, ""},
		{"no such peer", closedAddress, 0, nil, qf.NotDone, qf.CodeUnavailable},
		{"no answer in time", serverAddress, 2 * callTimeout, nil, qf.Unknown, qf.CodeUnavailable},
		{
			"connection cut during the call", serverAddress, callTimeout / 2,
			func(n *standnet.Network) { n.Reset(everyLink) }, qf.Unknown, qf.CodeUnavailable,
		},
		{
			"connection silent for good", serverAddress, callTimeout / 2,
			func(n *standnet.Network) { n.Blackhole(everyLink) }, qf.Unknown, qf.CodeUnavailable,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachIn(t, peers, func(t *testing.T, p peer) {
				if _, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{}); err != nil {
					t.Fatal(err)
				}
				p.handler.setTakes(test.takes)
				if test.fault != nil {
					go func() {
						sleep(test.takes / 2)
						test.fault(p.network)
					}()
				}
				result := p.HandOverRequests(t.Context(), test.address, []qf.RequestRecord{sentRecord})
				wantResult(t, result, test.certainty, test.code)
				if test.certainty == qf.Done && !slices.Equal(result.Value, []qf.RequestID{"request-1"}) {
					t.Errorf("taken %q", result.Value)
				}
				sleep(3 * callTimeout)
				if test.certainty == qf.NotDone && len(p.handler.taken) > 0 {
					t.Error("a hand-over that is NotDone was taken")
				}
				p.handler.setTakes(0)
				if _, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{}); err != nil {
					t.Errorf("the next call doesn't use a new connection: %v", err)
				}
			})
		})
	}
}

func TestPeerCarriesEveryField(t *testing.T) {
	eachIn(t, peers, func(t *testing.T, p peer) {
		departures := []qf.Departure{{VM: "vm-1", Incarnation: 2, In: 20 * time.Second}}
		digest, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{Departures: departures})
		if err != nil || digest.From.ID != "peer" || !reflect.DeepEqual(digest.Departures, departures) {
			t.Errorf("digest %+v, %v", digest, err)
		}
		record, err := p.FetchRecord(t.Context(), serverAddress, "request-1")
		if err != nil || !reflect.DeepEqual(record, sentRecord) {
			t.Errorf("record %+v, %v; want %+v", record, err, sentRecord)
		}
		_, err = p.FetchRecord(t.Context(), serverAddress, "request-2")
		wantCode(t, err, qf.CodeNotFound)
		for _, known := range []qf.Revision{6, 7} {
			snapshot, revision, err := p.FetchCatalogue(t.Context(), serverAddress, known)
			if err != nil || revision != 7 || (len(snapshot) > 0) != (known < 7) {
				t.Errorf("newer than %d: %q at %d, %v", known, snapshot, revision, err)
			}
		}
	})
}

func TestPeerCallsAtOnceShareAConnection(t *testing.T) {
	eachIn(t, peers, func(t *testing.T, p peer) {
		p.handler.setTakes(callTimeout / 2)
		start := clock.Now()
		for range 20 {
			go func() {
				if _, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{}); err != nil {
					t.Error(err)
				}
			}()
		}
		synctest.Wait()
		sleep(callTimeout)
		if took := clock.Now().Sub(start); took > callTimeout {
			t.Errorf("20 calls at once took %s", took)
		}
	})
}
