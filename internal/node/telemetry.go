package node

import (
	"net/http"
	"net/http/pprof" //nolint:gosec // The default mux that it adds to is never served.

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/transport/qfhttp"
	"quetzalfront/internal/qf/transport/qftelemetry"
	"quetzalfront/internal/qfsettings"
	"quetzalfront/pkg/qfapi"
)

// newTelemetry returns the telemetry that the settings configure.
func newTelemetry(settings *qfsettings.Settings, platform *Platform) *qftelemetry.Telemetry {
	s := &settings.Telemetry
	var exporter sdktrace.SpanExporter
	switch {
	case platform.SpanExporter != nil:
		exporter = platform.SpanExporter
	case s.TraceExporter == qfsettings.TraceExporterLog:
		exporter = qftelemetry.NewLogExporter(platform.Logger)
	}
	telemetry, err := qftelemetry.New(qftelemetry.Config{
		Node: qf.NodeID(settings.Node.ID), AvailabilityZone: settings.Node.Zone(), Clock: platform.Clock,
		TraceRatio: s.TraceRatio, MaxTracesPerSecond: s.MaxTracesPerSecond, Exporter: exporter,
	})
	if err != nil {
		panic(err) // The instruments' names and the registry are fixed.
	}
	return telemetry
}

// instrument wraps the platform's clients so that their calls are traced and measured.
func instrument(platform Platform, telemetry *qftelemetry.Telemetry) Platform {
	platform.Engine = telemetry.WrapEngineClient(platform.Engine)
	platform.Service = telemetry.WrapServiceClient(platform.Service)
	platform.Peer = telemetry.WrapPeerClient(platform.Peer)
	return platform
}

// callerHandler returns the handler of the callers' port.
func (n *Node) callerHandler() http.Handler {
	return n.telemetry.WrapCallerHandler(qfhttp.NewCallerHandler(n.telemetry.WrapCallerService(n), n.callerBounds()))
}

// operatorHandler returns the handler of the operators' port, with metrics and profiles.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", qfhttp.NewOperatorHandler(n))
	mux.Handle("GET "+qfapi.PathMetrics, n.telemetry.MetricsHandler())
	mux.Handle("GET "+qfapi.PathRuntimeMetrics, n.telemetry.RuntimeMetricsHandler())
	mux.HandleFunc("GET "+qfapi.PathProfiles, pprof.Index)
	mux.HandleFunc("GET "+qfapi.PathProfiles+"cmdline", pprof.Cmdline)
	mux.HandleFunc("GET "+qfapi.PathProfiles+"profile", pprof.Profile)
	mux.HandleFunc("GET "+qfapi.PathProfiles+"symbol", pprof.Symbol)
	mux.HandleFunc("GET "+qfapi.PathProfiles+"trace", pprof.Trace)
	return mux
}

// observedState returns the state that the node's metrics show.
func (n *Node) observedState() qftelemetry.State {
	state := qftelemetry.State{
		Active: n.records.InProgress(), Revision: n.catalogue.Revision(),
		Endpoints: map[qf.EntryName]int{}, Nodes: map[qf.NodeState]int{},
	}
	for _, e := range n.Endpoints() {
		state.Endpoints[e.Entry]++
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.membership.Nodes(n.now()) {
		state.Nodes[node.State]++
	}
	return state
}
