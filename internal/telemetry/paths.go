package telemetry

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// pathMetrics are the metrics of the node's paths to servers and of attempts that are sent through
// other nodes.
type pathMetrics struct {
	changes           *prometheus.CounterVec
	unansweredProbes  prometheus.Counter
	forwarded         *prometheus.CounterVec
	forwardedForPeers *prometheus.CounterVec
}

func newPathMetrics() *pathMetrics {
	return &pathMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_path_changes_total", Help: "Paths from this node to servers that broke or were restored.",
		}, []string{"state"}),
		unansweredProbes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_unanswered_probes_total", Help: "Probes of paths to servers whose connections were accepted and ended without a response.",
		}),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_forwarded_total", Help: "Attempts that this node offered to other nodes, by result.",
		}, []string{"result"}),
		forwardedForPeers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_forwarded_for_peers_total", Help: "Attempts that other nodes offered to this one, by result.",
		}, []string{"result"}),
	}
}

// forwardResult returns the label of the result of a forwarded attempt.
func forwardResult(err error) string {
	var refused *exchange.ErrRefused
	var unreached *exchange.ErrUnreached
	var withdrawn *exchange.ErrWithdrawn
	var unavailable *proxy.ErrUnavailable
	var unvouched *exchange.ErrUnvouched
	var pathFailed *exchange.ErrPathFailed
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &unvouched):
		return "unvouched"
	case errors.As(err, &pathFailed):
		return "path_failed"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &unreached):
		return "unreached"
	case errors.As(err, &withdrawn):
		return "withdrawn"
	case errors.As(err, &unavailable):
		return "unavailable"
	default:
		return "broken"
	}
}

// PathChanged records that the path to a server broke, with the error, or was restored, and whether
// this node became isolated or no longer is.
func (recorder *Recorder) PathChanged(change backend.PathChange, err error) {
	switch {
	case change.Server == "":
	case change.Broken:
		recorder.metrics.paths.changes.WithLabelValues("broken").Inc()
		recorder.limitedLine(zerolog.WarnLevel).Str("server", change.Server).Int("broken_paths", change.BrokenPaths).Err(err).Msg("path to a server is broken")
	default:
		recorder.metrics.paths.changes.WithLabelValues("restored").Inc()
		recorder.limitedLine(zerolog.InfoLevel).Str("server", change.Server).Int("broken_paths", change.BrokenPaths).Dur("broken_for", change.BrokenFor).Msg("path to a server is restored")
	}
	switch {
	case !change.IsolationChanged:
	case change.Isolated:
		recorder.log.Warn().Int("broken_paths", change.BrokenPaths).Msg("this node cannot connect to any server")
	default:
		recorder.log.Info().Int("broken_paths", change.BrokenPaths).Msg("this node can connect to servers again")
	}
}

// ProbeUnanswered records that the connection of a probe was accepted and ended without a response.
func (recorder *Recorder) ProbeUnanswered() { recorder.metrics.paths.unansweredProbes.Inc() }

// PeersUnread records that the nodes through which attempts could be sent were not read from the shared
// store.
func (recorder *Recorder) PeersUnread(err error) {
	recorder.log.Warn().Err(err).Msg("cannot read the nodes of the fleet; using those that are known")
}

// AttemptOffered records the result of offering an attempt to another node.
func (recorder *Recorder) AttemptOffered(result forward.Result) {
	label := forwardResult(result.Err)
	recorder.metrics.paths.forwarded.WithLabelValues(label).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", result.RequestID).Str("server", result.Server).Str("through", result.Node).
		Int("offered", result.Offered).Str("result", label).AnErr("reason", result.Err).Msg("forwarded")
}

// ForwardedForPeer records an attempt that this node sent for another one, or did not.
func (recorder *Recorder) ForwardedForPeer(node string, dispatch proxy.Dispatch, err error) {
	label := forwardResult(err)
	recorder.metrics.paths.forwardedForPeers.WithLabelValues(label).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", dispatch.Request.ID).Str("server", dispatch.Server).Str("for", node).
		Str("result", label).AnErr("reason", err).Msg("forwarded for another node")
}
