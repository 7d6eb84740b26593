package telemetry

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/inbound"
)

// ClientRecorder logs and counts what ends before a request is admitted.
type ClientRecorder struct {
	recorder *Recorder
	unread   *prometheus.CounterVec
	ends     *prometheus.CounterVec
	timeouts *prometheus.CounterVec
	heads    *prometheus.CounterVec
	internal *prometheus.CounterVec
	messages *prometheus.CounterVec
	errors   prometheus.Counter
}

// NewClientRecorder registers the metrics of clients' connections and returns a recorder of them.
func NewClientRecorder(recorder *Recorder) *ClientRecorder {
	c := &ClientRecorder{
		recorder: recorder,
		unread: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_unread_requests_total", Help: "Requests that were rejected before they were read whole, by result.",
		}, []string{"result"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_client_ends_total", Help: "Requests whose client's side of the connection ended before the response, by how it ended and whether the client still took the response.",
		}, []string{"end", "outcome"}),
		timeouts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_client_timeouts_total", Help: "Connections of clients that were closed because no head of a request came in time, or no further request.",
		}, []string{"waiting"}),
		heads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_rejected_heads_total", Help: "Heads of requests that were rejected before they were read whole, by the bound that they exceed (head, memory).",
		}, []string{"bound"}),
		internal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_internal_connections_turned_away_total", Help: "Connections that were closed, as their address, which is not the clients', had as many as it may have.",
		}, []string{"address"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_rejected_messages_total", Help: "Messages of other nodes that were rejected before they were decoded, by the bound that they exceed (length, memory, time, format).",
		}, []string{"bound"}),
		errors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_connection_errors_total", Help: "Errors of the HTTP server that ended a client's connection.",
		}),
	}
	recorder.metrics.Registry.MustRegister(c.unread, c.ends, c.timeouts, c.heads, c.internal, c.messages, c.errors)
	return c
}

// RejectedUnread records a request that was rejected before it was read whole.
func (c *ClientRecorder) RejectedUnread(id string, refusal *failure.Failure) {
	c.unread.WithLabelValues(string(refusal.Kind)).Inc()
	c.recorder.limitedLine(zerolog.InfoLevel).Str("id", id).Str("result", string(refusal.Kind)).Str("problem", refusal.Problem).
		Str("outcome", string(refusal.Outcome)).Msg("request rejected before it was read")
}

// Ended records a request whose client's side of the connection ended before its response.
func (c *ClientRecorder) Ended(id string, end clientconn.End, outcome clientconn.Outcome) {
	c.ends.WithLabelValues(string(end), string(outcome)).Inc()
	c.recorder.limitedLine(zerolog.InfoLevel).Str("id", id).Str("end", string(end)).Str("client", string(outcome)).Msg("client's side of the connection ended")
}

// TimedOut records a connection that was closed because its client took too long. Those that rested are only counted.
func (c *ClientRecorder) TimedOut(waiting clientconn.Waiting) {
	c.timeouts.WithLabelValues(string(waiting)).Inc()
	if waiting == clientconn.WaitingForHead {
		c.recorder.limitedLine(zerolog.InfoLevel).Msg("client sent no whole head in time")
	}
}

// HeadRejected records a connection that was closed because the head of a request exceeds a bound.
func (c *ClientRecorder) HeadRejected(rejection clientconn.HeadRejection) {
	line := c.recorder.limitedLine(zerolog.InfoLevel).Int("bytes", rejection.Bytes).Int("max_bytes", rejection.MaxBytes)
	if rejection.Memory == nil {
		c.heads.WithLabelValues(admission.BoundHead).Inc()
		line.Str("bound", admission.BoundHead).Msg("head rejected")
		return
	}
	c.heads.WithLabelValues(admission.BoundMemory).Inc()
	line.Str("bound", admission.BoundMemory).Int64("wanted_bytes", rejection.Memory.Wanted).Int64("held_bytes", rejection.Memory.Held).
		Int64("limit_bytes", rejection.Memory.Limit).Msg("head rejected")
}

// InternalTurnedAway records a connection that was closed, as one of the addresses that are not the clients' had too many.
func (c *ClientRecorder) InternalTurnedAway(address string) {
	c.internal.WithLabelValues(address).Inc()
	c.recorder.lineWithin(c.recorder.turnedAwayLimiter, zerolog.InfoLevel).Str("address", address).Msg("internal connection turned away")
}

// MessageRejected records a message of another node that was rejected before it was decoded.
func (c *ClientRecorder) MessageRejected(rejection inbound.Rejection) {
	c.messages.WithLabelValues(rejection.Bound).Inc()
	c.recorder.limitedLine(zerolog.WarnLevel).Str("path", rejection.Path).Str("bound", rejection.Bound).Str("problem", rejection.Problem.Error()).Msg("message rejected")
}

// Write logs an error of the HTTP server, such as a panic of a handler. It implements io.Writer for http.Server.ErrorLog.
func (c *ClientRecorder) Write(message []byte) (int, error) {
	c.errors.Inc()
	c.recorder.limitedLine(zerolog.ErrorLevel).Str("problem", strings.TrimSpace(string(message))).Msg("client connection failed")
	return len(message), nil
}
