package telemetry

import (
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/proxy"
)

// ServiceBrittle records that a server of a service has announced to this node that it is brittle, and how
// many rejections per second it survives.
func (recorder *Recorder) ServiceBrittle(service, server string, perSecond float64) {
	recorder.log.Warn().Str("service", service).Str("server", server).Float64("tolerance", perSecond).Msg("servers of a service are brittle")
}

// NoRoom records a request for which a brittle server of a service had no room.
func (recorder *Recorder) NoRoom(service string) {
	recorder.metrics.noRoom.WithLabelValues(service).Inc()
}

// RejectedForRoom records that a brittle server has rejected a request for want of room.
func (recorder *Recorder) RejectedForRoom(rejection proxy.Rejection) {
	recorder.metrics.roomRejections.WithLabelValues(rejection.Service).Inc()
	recorder.limitedLine(zerolog.WarnLevel).Str("server", rejection.Server).Str("service", rejection.Service).
		Int("running", rejection.Running).Dur("hold", rejection.Hold).Msg("brittle server rejected a request")
}
