package qfhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"quetzalfront/internal/qf"
)

// CallerPresence finds out whether callers still wait for their answers. net/http ends a request's context when its caller
// closes the connection, but it looks for that in the background only after it has read the request, so that a handler may be
// ahead of it, and it doesn't look behind further bytes on the connection.
type CallerPresence struct {
	mu sync.Mutex
	// waiting holds the requests in progress.
	waiting map[*waitingCaller]struct{}
}

var _ qf.CallerPresence = (*CallerPresence)(nil)

// waitingCaller is the caller of a request in progress.
type waitingCaller struct {
	connection net.Conn
	// leave ends the request's context.
	leave context.CancelCauseFunc
}

// waitingCallerKey is the key of a request's *waitingCaller, connectionKey that of its connection.
type (
	waitingCallerKey struct{}
	connectionKey    struct{}
)

// NewCallerPresence returns a presence without requests.
func NewCallerPresence() *CallerPresence {
	return &CallerPresence{waiting: map[*waitingCaller]struct{}{}}
}

// ConnContext is the ConnContext of the server whose callers are followed.
func (p *CallerPresence) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// Handler follows the callers of a handler's requests.
func (p *CallerPresence) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, isKnown := r.Context().Value(connectionKey{}).(net.Conn)
		if !isKnown {
			next.ServeHTTP(w, r)
			return
		}
		ctx, leave := context.WithCancelCause(r.Context())
		caller := &waitingCaller{connection: connection, leave: leave}
		p.add(caller)
		defer p.remove(caller)
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, waitingCallerKey{}, caller)))
	})
}

func (p *CallerPresence) add(caller *waitingCaller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[caller] = struct{}{}
}

func (p *CallerPresence) remove(caller *waitingCaller) {
	caller.leave(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, caller)
}

// HasLeft implements qf.CallerPresence.
func (p *CallerPresence) HasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	caller, isKnown := ctx.Value(waitingCallerKey{}).(*waitingCaller)
	return isKnown && caller.checkPresence()
}

// closeReporter is implemented by connections that report whether this process has closed them.
type closeReporter interface{ IsClosed() bool }

// IsCut implements qf.CallerPresence.
func (p *CallerPresence) IsCut(ctx context.Context) bool {
	caller, isKnown := ctx.Value(waitingCallerKey{}).(*waitingCaller)
	if !isKnown {
		return false
	}
	connection, isReporter := caller.connection.(closeReporter)
	return isReporter && connection.IsClosed()
}

// Step looks at all requests in progress and ends the contexts of those whose callers have left.
func (p *CallerPresence) Step(context.Context) {
	for _, caller := range p.list() {
		caller.checkPresence()
	}
}

func (p *CallerPresence) list() []*waitingCaller {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*waitingCaller, 0, len(p.waiting))
	for caller := range p.waiting {
		list = append(list, caller)
	}
	return list
}

// checkPresence reports whether the caller has left, and ends the request's context if so.
func (c *waitingCaller) checkPresence() bool {
	hasLeft := hasEnded(c.connection)
	if hasLeft {
		c.leave(qf.ErrCallerLeft)
	}
	return hasLeft
}

// endReporter is implemented by connections without a descriptor that report whether the other end has closed them.
type endReporter interface{ HasEnded() bool }

// hasEnded reports whether the other end of a connection has closed it, even if bytes before that weren't read. It never
// blocks, and false also stands for not known.
func hasEnded(connection net.Conn) bool {
	switch c := connection.(type) {
	case endReporter:
		return c.HasEnded()
	case syscall.Conn:
		return hasSocketEnded(c)
	default:
		return false
	}
}

// endEvents are the events of a socket whose other end has closed it or reset it.
const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

func hasSocketEnded(connection syscall.Conn) bool {
	events, err := pollSocket(connection, unix.POLLRDHUP)
	return err != nil || events&endEvents != 0 // With an error, the node itself has closed it.
}
