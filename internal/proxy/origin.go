package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// originSendTimeout bounds how long the first event of a stream is held until another node has the
	// record of what began it.
	originSendTimeout = 25 * time.Millisecond
	// originFindTimeout bounds the search for what began a stream.
	originFindTimeout = 600 * time.Millisecond
	// archiveReadTimeout bounds how long a request waits for a read of the archive. It begins while other nodes are asked, if
	// that takes longer than archiveReadDelay, so that both searches end at the same time.
	archiveReadTimeout = 400 * time.Millisecond
	archiveReadDelay   = originFindTimeout - archiveReadTimeout
	// originRetryAfter is when a caller may resume a stream of which the holders could not be asked.
	originRetryAfter = time.Second
	// maxListWait bounds how long a stream of a version that is not listed waits for a list that is younger than its
	// caller's try, and listWaitStep is the time between two looks.
	maxListWait  = time.Second
	listWaitStep = 10 * time.Millisecond
	// reportTimeout bounds the question for the start time of a server. It is asked up to maxReportQuestions times
	// before the stream that a server has begun is given up, and then every reportPause for one that continues.
	reportTimeout      = 100 * time.Millisecond
	maxReportQuestions = 3
	reportPause        = 100 * time.Millisecond
	// requiredHolders is the number of other nodes that must have no record of a stream for it to count
	// as unrecorded, if there are that many.
	requiredHolders = 2
)

// StreamOrigin is what is recorded when a stream begins.
type StreamOrigin struct {
	Server string
	Origin origin.Origin
	// Held reports that another node had the record before the first event was passed on. Waited is how
	// long that event was held.
	Held   bool
	Waited time.Duration
}

// OriginSource is how the origin of a resumed stream was determined.
type OriginSource string

// The sources. They are labels of metrics.
const (
	OriginRecorded    OriginSource = "recorded"
	OriginFound       OriginSource = "found"
	OriginArchived    OriginSource = "archived"
	OriginOnlyVersion OriginSource = "only_version"
	OriginUnknown     OriginSource = "unknown"
	// OriginMoved means that the route no longer leads to the service that began the stream.
	OriginMoved OriginSource = "moved"
)

// Resumption is the result of the search for what began a stream that a caller resumes.
type Resumption struct {
	Key     origin.Key
	Resumes string
	Origin  origin.Origin
	Source  OriginSource
	// Asked is the number of other nodes that answered, and Failed that of those that did not.
	Asked  int
	Failed int
	// ArchiveError is why the archive could not be read; nil if it was read, or not needed.
	ArchiveError error
	// ListWait is how long the request waited for a list of servers that is younger than itself.
	ListWait time.Duration
	Took     time.Duration
}

// originKey returns the key of the stream that the caller's try with an ID began.
func (admitted *admitted) originKey(requestID string) origin.Key {
	tenant := ""
	if admitted.tenant != nil {
		tenant = admitted.tenant.Name
	}
	return origin.NewKey(tenant, requestID)
}

// resumes reports whether the caller resumes a stream.
func (admitted *admitted) resumes() bool {
	request := admitted.request
	return admitted.route.Kind == catalog.Stream && (request.ResumeAfter != nil || request.Resumes != "")
}

// resolveOrigin determines what began the stream that the caller resumes, and refuses the request if
// that is not known: servers would continue a stream of another version without noticing.
func (proxy *Proxy) resolveOrigin(ctx context.Context, admitted *admitted) *failure.Failure {
	if proxy.origins == nil || !admitted.resumes() {
		return nil
	}
	startedAt := boottime.Now()
	resumption := Resumption{Key: admitted.originKey(admitted.request.Resumes), Resumes: admitted.request.Resumes}
	proxy.findOrigin(ctx, admitted, &resumption)
	refusal := admitted.adoptOrigin(&resumption)
	if refusal == nil {
		resumption.ListWait = proxy.awaitListOf(ctx, admitted)
	}
	resumption.Took = boottime.Since(startedAt)
	proxy.recorder.StreamResumed(admitted.request, resumption)
	return refusal
}

// awaitListOf waits until the software version that began the stream is listed, or the list was read after the caller came
// back: a node that was suspended or cut off does not know which servers have joined since. It returns how long it waited.
func (proxy *Proxy) awaitListOf(ctx context.Context, admitted *admitted) time.Duration {
	startedAt := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, maxListWait)
	defer cancel()
	for ctx.Err() == nil && !proxy.set.ListsSoftware(admitted.origin.Service, admitted.origin.Software) && !proxy.listIsCurrent(admitted) {
		pause.For(ctx, listWaitStep)
	}
	return boottime.Since(startedAt)
}

// listIsCurrent reports whether the list of servers was read after the caller sent the request.
func (proxy *Proxy) listIsCurrent(admitted *admitted) bool {
	return proxy.set.ListReadSince(admitted.request.Arrived)
}

// findOrigin searches this node's records, then those of other nodes. A stream without a record began
// at the only version if there was no other one.
func (proxy *Proxy) findOrigin(ctx context.Context, admitted *admitted, resumption *Resumption) {
	now := boottime.Now()
	resumption.Source = OriginUnknown
	if resumption.Resumes != "" {
		found, known := proxy.origins.Lookup(resumption.Key, now)
		if known {
			resumption.Source, resumption.Origin = OriginRecorded, found
			return
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readArchive := proxy.scheduleArchiveRead(ctx, resumption)
	finding := proxy.askHolders(ctx, resumption.Key)
	resumption.Asked, resumption.Failed = finding.Answered(), finding.Failed
	if resumption.Resumes != "" && finding.Found {
		resumption.Source, resumption.Origin = OriginFound, finding.Origin
		proxy.origins.Learn(resumption.Key, finding.Origin, now)
		return
	}
	if len(admitted.route.Split) <= 1 && proxy.unrecorded(admitted, finding) {
		if software, known := proxy.set.OnlySoftware(admitted.service.Name, now); known {
			resumption.Source, resumption.Origin = OriginOnlyVersion, origin.Origin{Service: admitted.service.Name, Software: software}
			return
		}
	}
	if readArchive != nil {
		proxy.findArchived(readArchive, resumption)
	}
}

// scheduleArchiveRead returns a function that reads the archive, for the case that all nodes with a record of the stream are
// lost, and waits for the result; nil if there is no archive. Unless the context ends, the read begins after archiveReadDelay
// at the latest.
func (proxy *Proxy) scheduleArchiveRead(ctx context.Context, resumption *Resumption) func() error {
	if proxy.archive == nil || resumption.Resumes == "" {
		return nil
	}
	read := sync.OnceValue(func() error {
		ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
		defer cancel()
		return proxy.archive.Read(ctx)
	})
	timer := time.AfterFunc(archiveReadDelay, func() { _ = read() })
	context.AfterFunc(ctx, func() { timer.Stop() })
	return read
}

// findArchived searches the archive.
func (proxy *Proxy) findArchived(read func() error, resumption *Resumption) {
	if err := read(); err != nil {
		resumption.ArchiveError = err
		return
	}
	if found, known := proxy.origins.Lookup(resumption.Key, boottime.Now()); known {
		resumption.Source, resumption.Origin = OriginArchived, found
	}
}

func (proxy *Proxy) askHolders(ctx context.Context, key origin.Key) origin.Finding {
	if proxy.originHolders == nil {
		return origin.Finding{}
	}
	ctx, cancel := context.WithTimeout(ctx, originFindTimeout)
	defer cancel()
	return proxy.originHolders.Find(ctx, key)
}

// unrecorded reports whether the stream counts as one that no node has recorded: its holders answer that
// they have no record, or the list of servers was read after the caller came back. Nodes decide by that
// list what to record.
func (proxy *Proxy) unrecorded(admitted *admitted, finding origin.Finding) bool {
	others := 0
	if proxy.originHolders != nil {
		others = len(proxy.originHolders.Nodes())
	}
	return finding.Answered() >= min(requiredHolders, others) || proxy.listIsCurrent(admitted)
}

// adoptOrigin binds the request to what began the stream, or returns why it cannot be served.
func (admitted *admitted) adoptOrigin(resumption *Resumption) *failure.Failure {
	if !resumption.Origin.Known() {
		refusal := failure.New(failure.KindOtherSoftware, "it is not known which software version began the stream", restartStream)
		if resumption.Failed > 0 || resumption.ArchiveError != nil {
			return refusal.WithRetryAfter(originRetryAfter)
		}
		return refusal
	}
	if !admitted.bindService(resumption.Origin.Service) {
		resumption.Source = OriginMoved
		return failure.New(failure.KindOtherSoftware, "the route no longer leads to the service that began the stream", restartStream)
	}
	admitted.origin = &resumption.Origin
	return nil
}

// trackedStream is the stream of a request among the open streams of this node. An attempt may begin it while the
// request ends.
type trackedStream struct {
	mutex sync.Mutex
	key   origin.Key
	begun bool
	ended bool
	// latest is the latest attempt of the request; nil if there is none. mayHaveLeft is set once other nodes have been told
	// that the caller may take the stream up there.
	latest      *placement
	mayHaveLeft bool
}

func (s *trackedStream) setLatest(latest *placement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latest = latest
}

// beginStream makes a stream of the request count as open, whose caller may resume it.
func (proxy *Proxy) beginStream(admitted *admitted, key origin.Key, began origin.Origin) {
	if proxy.openStreams == nil {
		return
	}
	s := admitted.stream
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return
	}
	proxy.openStreams.Begin(key, began, len(admitted.route.Split) > 1)
	s.key, s.begun = key, true
}

// endStream makes the stream of the request, if it has one, count as ended.
func (proxy *Proxy) endStream(admitted *admitted, outcome exchange.Outcome, now time.Time) {
	if proxy.openStreams == nil {
		return
	}
	s := admitted.stream
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if !s.begun {
		return
	}
	resumableUntil := now.Add(defaultTimeout)
	if timeout := admitted.request.CallerTimeout; timeout > 0 {
		resumableUntil = admitted.request.Arrived.Add(timeout)
	}
	proxy.openStreams.End(s.key, outcome.Failure == nil, resumableUntil, now)
}

// restartStream is the remedy for streams that cannot go on.
const restartStream = "send the request again from its beginning, without the events that were received"

// bindService makes a service of the route serve the request. It returns false if the route has no such
// service.
func (admitted *admitted) bindService(name string) bool {
	if admitted.service.Name == name {
		return true
	}
	for _, share := range admitted.route.Split {
		if share.Service == name {
			if service := admitted.replica.Snapshot.Service(name); service != nil {
				admitted.service = service
				return true
			}
		}
	}
	return false
}

// mixesOrigins reports whether what began a stream on the route can be told only by a record.
func (proxy *Proxy) mixesOrigins(admitted *admitted, now time.Time) bool {
	return len(admitted.route.Split) > 1 || proxy.set.RequiresOrigins(admitted.service.Name, now)
}

// keepsOrigin reports whether the attempt's stream may be resumed later.
func (placement *placement) keepsOrigin() bool { return placement.placer.beginsResumableStream() }

// beginsResumableStream reports whether the request's route has streams that may be resumed later.
func (placer *placer) beginsResumableStream() bool {
	route := placer.admitted.route
	return placer.proxy.origins != nil && route.Kind == catalog.Stream && route.Resumable
}

// checkIncarnation decides what to do with a stream that a server has begun to send. It is rejected if the server
// may have started again with other software: one that continues might mix versions, and one that begins would count
// as one of the listed version once all nodes that know better are lost. The version of one that begins is recorded
// before its first event is passed on.
func (placement *placement) checkIncarnation(ctx context.Context, reply *exchange.Reply) (*exchange.Reply, error) {
	if reply.Next == nil || !placement.keepsOrigin() {
		return reply, nil
	}
	if err := placement.requireKnownVersion(ctx, reply); err != nil {
		reply.Close()
		return nil, err
	}
	if placement.continues {
		return reply, nil
	}
	next, first := reply.Next, true
	reply.Next = func() (exchange.StreamEvent, error) {
		event, err := next()
		if err == nil && first {
			first = false
			placement.recordOrigin(ctx)
		}
		return event, err
	}
	return reply, nil
}

// incarnationEvidence is what is known of the incarnation that sends a response.
type incarnationEvidence int

const (
	incarnationUnconfirmed incarnationEvidence = iota
	incarnationConfirmed
	incarnationReplaced
)

// incarnation returns what is known of the incarnation that sends a response. It asks the server if the
// connection is too young for the list to show a restart.
func (placement *placement) incarnation(ctx context.Context, reply *exchange.Reply) incarnationEvidence {
	if placement.placer.proxy.set.SoftwareOf(placement.chosen.Endpoint) != placement.chosen.Software {
		return incarnationReplaced
	}
	if placement.detour {
		if reply.ConfirmedByPeer {
			return incarnationConfirmed
		}
		return incarnationUnconfirmed
	}
	return placement.placer.proxy.confirmIncarnation(ctx, placement.chosen.Endpoint, reply.ConnectedAt)
}

// confirmIncarnation returns whether an incarnation accepted a connection that was established at a time.
func (proxy *Proxy) confirmIncarnation(ctx context.Context, name string, connectedAt time.Time) incarnationEvidence {
	if proxy.set.IsIncarnation(name, connectedAt, proxy.entryTTL) {
		return incarnationConfirmed
	}
	server, found := proxy.set.Server(name)
	if proxy.reportBorn == nil || !found {
		return incarnationUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := boottime.Now()
	born, err := proxy.reportBorn(ctx, server)
	switch {
	case err != nil:
		return incarnationUnconfirmed
	case !proxy.set.ObserveBorn(name, born, sentAt):
		return incarnationReplaced
	case !proxy.set.IsIncarnation(name, connectedAt, proxy.entryTTL):
		return incarnationUnconfirmed
	default:
		return incarnationConfirmed
	}
}

// askIncarnation asks for the incarnation that sends a response until that is known, at least maxReportQuestions times. A
// stream that continues is given up no earlier than its attempt or its server: few further attempts are left for it.
func (proxy *Proxy) askIncarnation(ctx context.Context, server string, continues bool, ask func() incarnationEvidence) incarnationEvidence {
	evidence := ask()
	for question := 1; evidence == incarnationUnconfirmed && ctx.Err() == nil; question++ {
		if question >= maxReportQuestions {
			if !continues || !proxy.set.Listed(backend.ServerKey(server)) {
				break
			}
			pause.For(ctx, reportPause)
		}
		evidence = ask()
	}
	return evidence
}

// requireKnownVersion returns an error unless it is certain which software version the stream has.
func (placement *placement) requireKnownVersion(ctx context.Context, reply *exchange.Reply) error {
	ask := func() incarnationEvidence { return placement.incarnation(ctx, reply) }
	evidence := incarnationUnconfirmed
	if placement.detour {
		evidence = ask()
	} else {
		evidence = placement.placer.proxy.askIncarnation(ctx, placement.chosen.Endpoint, placement.continues, ask)
	}
	if evidence == incarnationConfirmed {
		return nil
	}
	placement.placer.proxy.recorder.StreamOfUncertainVersion(placement.placer.admitted.request, placement.chosen.Endpoint, evidence == incarnationReplaced)
	return errors.New("the server may have started again, with a software version that is not known yet")
}

// recordOrigin records what began the stream. While several versions serve, it sends the record to other nodes, for
// callers who resume the stream there.
func (placement *placement) recordOrigin(ctx context.Context) {
	proxy, admitted, startedAt := placement.placer.proxy, placement.placer.admitted, boottime.Now()
	placement.origin = origin.Origin{Service: admitted.service.Name, Software: placement.chosen.Software}
	key, now := admitted.originKey(admitted.request.ID), boottime.Now()
	proxy.beginStream(admitted, key, placement.origin)
	// Other nodes take a stream without a record for one of the only version.
	shared := proxy.mixesOrigins(admitted, now)
	proxy.origins.Begin(key, placement.origin, shared, now)
	if !shared {
		return
	}
	began := StreamOrigin{Server: placement.chosen.Endpoint, Origin: placement.origin}
	if proxy.originHolders != nil {
		bounded, cancel := context.WithTimeout(ctx, originSendTimeout)
		began.Held = proxy.originHolders.Send(bounded, key, placement.origin)
		cancel()
	}
	began.Waited = boottime.Since(startedAt)
	proxy.recorder.StreamBegan(admitted.request, began)
}

// Forwarding records that the caller gets an event, and binds the request to the software version of the attempt.
func (placement *placement) Forwarding() {
	now := boottime.Now()
	if !placement.lastEventAt.IsZero() {
		placement.longestGap = max(placement.longestGap, now.Sub(placement.lastEventAt))
	}
	placement.lastEventAt = now
	placement.noteProgress(now)
	if placement.placer.admitted.origin == nil && placement.keepsOrigin() {
		placement.placer.admitted.origin = &placement.origin
	}
}

// checkOrigin returns why the stream cannot be continued by any server, or nil.
func (placer *placer) checkOrigin() *exchange.Unplaced {
	began := placer.admitted.origin
	problem := ""
	switch {
	case began == nil:
		return nil
	case !began.Known():
		problem = "it is not known which software version began the stream"
	case !placer.proxy.set.ListsSoftware(began.Service, began.Software):
		problem = "no server of the software version that began the stream is left"
	default:
		return nil
	}
	return placer.cannotGoOn(problem)
}

// cannotGoOn refuses a stream that no server can continue. Entries that lapsed during a disruption of
// the store are written again after it, and a list that is older than the caller's try may lack servers.
func (placer *placer) cannotGoOn(problem string) *exchange.Unplaced {
	refusal := failure.New(failure.KindOtherSoftware, problem, restartStream)
	replica := placer.proxy.replica.Load()
	if replica != nil && boottime.Since(replica.DisruptedAt) < backend.ReregistrationTime || !placer.proxy.listIsCurrent(placer.admitted) {
		refusal = refusal.WithRetryAfter(originRetryAfter)
	}
	return &exchange.Unplaced{Reason: problem, Permanent: true, Refusal: refusal}
}

// PublishOrigins sends the records of streams that began while their services had one software version
// to other nodes, once there are several or other nodes may not know that there was one. It returns how many there were.
func (proxy *Proxy) PublishOrigins(ctx context.Context) int {
	now := boottime.Now()
	if proxy.origins == nil || proxy.originHolders == nil {
		return 0
	}
	services := proxy.set.ServicesRequiringOrigins(now)
	if len(services) == 0 {
		return 0
	}
	return proxy.sendOrigins(ctx, proxy.origins.TakeUnsent(services, maxPublishedOrigins, now))
}

// HandOverOrigins sends the records of streams that this node holds to other nodes, before it stops. It
// returns how many there were.
func (proxy *Proxy) HandOverOrigins(ctx context.Context) int {
	if proxy.origins == nil || proxy.originHolders == nil {
		return 0
	}
	return proxy.sendOrigins(ctx, proxy.origins.Held(maxPublishedOrigins, boottime.Now()))
}

func (proxy *Proxy) sendOrigins(ctx context.Context, records map[origin.Origin][]origin.Key) int {
	count := 0
	for _, keys := range records {
		count += len(keys)
	}
	proxy.originHolders.SendAll(ctx, records)
	return count
}

// maxPublishedOrigins bounds the records that are sent at once.
const maxPublishedOrigins = 4096

// ReportBorn asks a server for its start time.
type ReportBorn func(ctx context.Context, server backend.Server) (born int64, err error)
