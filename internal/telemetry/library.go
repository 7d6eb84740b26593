package telemetry

import (
	"bytes"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// unsolicitedResponse is part of the message of net/http for bytes that come after a response, which it quotes.
const unsolicitedResponse = "Unsolicited response"

// LibraryRecorder logs and counts what libraries write to the standard logger.
type LibraryRecorder struct {
	recorder *Recorder
	messages *prometheus.CounterVec
}

// NewLibraryRecorder registers the metric of libraries' messages and returns a recorder of them.
func NewLibraryRecorder(recorder *Recorder) *LibraryRecorder {
	l := &LibraryRecorder{recorder: recorder, messages: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cloverrail_proxy_library_messages_total", Help: "Messages of libraries, by whether a server or node has sent more than its response.",
	}, []string{"kind"})}
	recorder.metrics.Registry.MustRegister(l.messages)
	return l
}

// Write logs one message. It implements io.Writer for log.SetOutput.
func (l *LibraryRecorder) Write(message []byte) (int, error) {
	if bytes.Contains(message, []byte(unsolicitedResponse)) {
		l.messages.WithLabelValues("unsolicited_response").Inc()
		l.recorder.limitedLine(zerolog.WarnLevel).Msg("connection closed: bytes came after a response")
		return len(message), nil
	}
	l.messages.WithLabelValues("other").Inc()
	l.recorder.limitedLine(zerolog.WarnLevel).Str("problem", strings.TrimSpace(string(message))).Msg("message of a library")
	return len(message), nil
}
