package telemetry

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// originMetrics are the metrics of the software versions that began streams.
type originMetrics struct {
	began   *prometheus.CounterVec
	resumed *prometheus.CounterVec
	// writes and written count the writes of the archive and their bytes, and reads its reads.
	writes  *prometheus.CounterVec
	written prometheus.Counter
	reads   *prometheus.CounterVec
	// archiveFailing is set while the latest write of the archive has failed.
	archiveFailing atomic.Bool
}

func newOriginMetrics() *originMetrics {
	return &originMetrics{
		began: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_recorded_streams_total", Help: "Streams that began while their service had several software versions, by whether another node had the record before the first event was passed on, and attempts that were given up because the version was uncertain.",
		}, []string{"record"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_resumed_streams_total", Help: "Streams that callers resumed, by how the software version that began them was determined.",
		}, []string{"source"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_stream_archive_writes_total", Help: "Writes of the software versions of open streams to the store, by result.",
		}, []string{"result"}),
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_stream_archive_bytes_total", Help: "Bytes of the software versions of open streams that were written to the store, before their encoding.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_stream_archive_reads_total", Help: "Reads of the software versions of open streams from the store, by result.",
		}, []string{"result"}),
	}
}

// collectors returns all metrics.
func (m *originMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.began, m.resumed, m.writes, m.written, m.reads}
}

// StreamOfUncertainVersion records a stream that is given up since its software version is not certain.
func (recorder *Recorder) StreamOfUncertainVersion(request *proxy.Request, server string, replaced bool) {
	recorder.metrics.origins.began.WithLabelValues("uncertain").Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", server).Bool("replaced", replaced).
		Msg("stream given up, as the software version of its server is not certain")
}

// StreamBegan records what began a stream of a service with several software versions.
func (recorder *Recorder) StreamBegan(request *proxy.Request, began proxy.StreamOrigin) {
	record := "local"
	if began.Held {
		record = "held"
	}
	recorder.metrics.origins.began.WithLabelValues(record).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", began.Server).Str("software", began.Origin.Software).
		Str("record", record).Dur("waited", began.Waited).Msg("stream began")
}

// StreamResumed records what is known of the origin of a stream that a caller resumes.
func (recorder *Recorder) StreamResumed(request *proxy.Request, resumption proxy.Resumption) {
	recorder.metrics.origins.resumed.WithLabelValues(string(resumption.Source)).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("stream", resumption.Key).Str("resumes", truncate(resumption.Resumes)).
		Str("source", string(resumption.Source)).Str("service", resumption.Origin.Service).Str("software", resumption.Origin.Software).
		Int("asked", resumption.Asked).Int("failed", resumption.Failed).AnErr("archive_error", resumption.ArchiveError).Dur("list_wait", resumption.ListWait).Dur("took", resumption.Took).Msg("stream resumed")
}

// callResult returns the metrics label of a call.
func callResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// ArchiveWritten records a write of the software versions of open streams. Failures are logged when they begin
// and end.
func (recorder *Recorder) ArchiveWritten(streams, bytes int, took time.Duration, err error) {
	metrics := recorder.metrics.origins
	metrics.writes.WithLabelValues(callResult(err)).Inc()
	if err == nil {
		metrics.written.Add(float64(bytes))
	}
	if failed := err != nil; metrics.archiveFailing.Swap(failed) == failed {
		return
	}
	if err != nil {
		recorder.log.Warn().Int("streams", streams).Dur("took", took).Err(err).Msg("cannot write the software versions of open streams; callers cannot resume them if all nodes are lost now")
		return
	}
	recorder.log.Info().Int("streams", streams).Dur("took", took).Msg("writing the software versions of open streams again")
}

// ArchiveRead records a read of the software versions of open streams, for a stream that no node has a record of.
func (recorder *Recorder) ArchiveRead(entries, streams int, took time.Duration, err error) {
	recorder.metrics.origins.reads.WithLabelValues(callResult(err)).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Int("entries", entries).Int("streams", streams).Dur("took", took).Err(err).Msg("read the software versions of open streams")
}

// ArchiveEntryUnreadable records an entry of the archive that was skipped.
func (recorder *Recorder) ArchiveEntryUnreadable(key string, at coordination.Position, err error) {
	recorder.EntryUnreadable(key, at, errors.Annotate(err, "remove the key, or run builds that support each other's formats"))
}

// maxLoggedID bounds an ID of a caller in a log line.
const maxLoggedID = 64

func truncate(id string) string {
	if len(id) > maxLoggedID {
		return id[:maxLoggedID]
	}
	return id
}

// OriginsPublished records that records of streams were sent to other nodes, since their services have
// several software versions now, or this node stops.
func (recorder *Recorder) OriginsPublished(streams int) {
	recorder.log.Info().Int("streams", streams).Msg("sent the software versions of streams to other nodes")
}

// SoftwareChanged records that the software versions of the services' servers have changed.
func (recorder *Recorder) SoftwareChanged(versions backend.SoftwareVersions) {
	recorder.log.Info().Interface("services", versions).Msg("software versions of services")
}

// MissingSoftwareRead records a read of the servers' software versions that other nodes did not pass on.
func (recorder *Recorder) MissingSoftwareRead(servers int, err error) {
	recorder.log.Info().Int("servers", servers).Err(err).Msg("read the software versions that a node of another build does not pass on")
}

// SoftwareRecordRead records a read of the software versions that are recorded in the store, by a node that
// no other one has sent them.
func (recorder *Recorder) SoftwareRecordRead(err error) {
	if err != nil {
		recorder.log.Warn().Err(err).Msg("cannot read the recorded software versions; streams that other nodes began are resumed by records alone")
		return
	}
	recorder.log.Info().Msg("read the recorded software versions")
}

// SoftwareRecordChanged records that this node knows another record of software versions.
func (recorder *Recorder) SoftwareRecordChanged(record backend.SoftwareRecord) {
	recorder.log.Info().Interface("services", record.Services()).Int64("revision", record.Revision).Any("era", record.AsOf.Era).Bool("complete", record.Complete()).Msg("software versions are recorded")
}

// SoftwareRecordWritten records a write of the software versions; written is false if another node has
// changed the record meanwhile.
func (recorder *Recorder) SoftwareRecordWritten(versions backend.SoftwareVersions, written bool, err error) {
	recorder.log.Info().Interface("services", versions).Bool("written", written).Err(err).Msg("wrote the software versions")
}
