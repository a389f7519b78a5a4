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

// delayedPeer responds to calls after a delay. It embeds the interface to satisfy it;
// the tests don't call the methods that are not overridden here.
type delayedPeer struct {
	qfrpc.Handler
	mu       sync.Mutex
	delay    time.Duration
	accepted []qf.RequestID
}

func (p *delayedPeer) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *delayedPeer) waitDelay() {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	sleep(delay)
}

func (p *delayedPeer) Exchange(digest qf.Digest) qf.Digest {
	p.waitDelay()
	return qf.Digest{From: qf.Node{ID: "peer"}, Departures: digest.Departures}
}

func (p *delayedPeer) TakeOver(records []qf.RequestRecord) []qf.RequestID {
	p.waitDelay()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		p.accepted = append(p.accepted, records[i].Request.ID)
	}
	return p.accepted
}

func (p *delayedPeer) Lookup(id qf.RequestID) (qf.RequestRecord, error) {
	if id != sentRecord.Request.ID {
		return qf.RequestRecord{}, qf.NewError(qf.CodeNotFound, qf.StepPeer, "", "")
	}
	return sentRecord, nil
}

func (p *delayedPeer) CatalogueNewerThan(revision qf.Revision) ([]byte, qf.Revision) {
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

// peer is one implementation of the peer client, with the handler that it calls and
// the network between them.
type peer struct {
	qf.PeerClient
	handler *delayedPeer
	network *standnet.Network
}

var peers = map[string]func(t *testing.T) peer{
	"net/rpc": func(t *testing.T) peer {
		p := peer{handler: &delayedPeer{}, network: standnet.New()}
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

func TestPeerHandOverResults(t *testing.T) {
	tests := []struct {
		name      string
		address   netip.AddrPort
		delay     time.Duration
		fault     func(n *standnet.Network)
		certainty qf.Certainty
		code      qf.Code
	}{
		{"success", serverAddress, 0, nil, qf.Done, ""},
		{"slow but within the timeout", serverAddress, callTimeout / 2, nil, qf.Done, ""},
		{"connection refused", closedAddress, 0, nil, qf.NotDone, qf.CodeUnavailable},
		{"response timeout", serverAddress, 2 * callTimeout, nil, qf.Unknown, qf.CodeUnavailable},
		{
			"connection reset during the call", serverAddress, callTimeout / 2,
			func(n *standnet.Network) { n.Reset(everyLink) }, qf.Unknown, qf.CodeUnavailable,
		},
		{
			"connection silently dead", serverAddress, callTimeout / 2,
			func(n *standnet.Network) { n.Blackhole(everyLink) }, qf.Unknown, qf.CodeUnavailable,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachImplementation(t, peers, func(t *testing.T, p peer) {
				if _, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{}); err != nil {
					t.Fatal(err)
				}
				p.handler.setDelay(test.delay)
				if test.fault != nil {
					go func() {
						sleep(test.delay / 2)
						test.fault(p.network)
					}()
				}
				result := p.HandOverRequests(t.Context(), test.address, []qf.RequestRecord{sentRecord})
				wantResult(t, result, test.certainty, test.code)
				if test.certainty == qf.Done && !slices.Equal(result.Value, []qf.RequestID{"request-1"}) {
					t.Errorf("accepted requests %q", result.Value)
				}
				sleep(3 * callTimeout)
				if test.certainty == qf.NotDone && len(p.handler.accepted) > 0 {
					t.Error("a hand-over reported as NotDone was accepted")
				}
				p.handler.setDelay(0)
				if _, err := p.ExchangeDigests(t.Context(), serverAddress, qf.Digest{}); err != nil {
					t.Errorf("the next call did not open a new connection: %v", err)
				}
			})
		})
	}
}

// TestPeerPreservesEveryField fails if a field is lost on the way between peers.
func TestPeerPreservesEveryField(t *testing.T) {
	forEachImplementation(t, peers, func(t *testing.T, p peer) {
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

// TestPeerRunsConcurrentCallsInParallel fails if a slow call blocks the calls behind it
// on the same connection.
func TestPeerRunsConcurrentCallsInParallel(t *testing.T) {
	forEachImplementation(t, peers, func(t *testing.T, p peer) {
		p.handler.setDelay(callTimeout / 2)
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
			t.Errorf("20 concurrent calls took %s", took)
		}
	})
}
