package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against streams that hold events of servers of two software versions, in one
// answer or over a caller's tries, and against streams that are given up although a server of their
// version is left.

const (
	softwareStreams = 20
	// minContinued is the number of softwareStreams that must go on: nine in ten.
	minContinued = 18
	streamLength = 8
)

// softwareFleet is a fleet whose engines have several software versions.
type softwareFleet struct {
	*fleetFixture
	// engines counts the engines that were started.
	engines int
	// breaks is set while engines break off each stream that they began after its second event, and slow
	// while their events are slowEvent apart.
	breaks atomic.Bool
	slow   atomic.Bool
	// incomplete is set once the store was restored while no node ran that knew all versions: nodes cannot tell.
	incomplete bool
}

// slowEvent is the time between two events of a slow stream.
const slowEvent = 400 * time.Millisecond

// newSoftwareFleet starts nodes, and two engines of each software version.
func newSoftwareFleet(t *testing.T, nodes int, versions ...string) *softwareFleet {
	f := &softwareFleet{fleetFixture: newFleet(t, 0, 0)}
	for _, version := range versions {
		for range 2 {
			f.addEngine(version)
		}
	}
	for range nodes {
		f.addNode()
	}
	for _, n := range f.nodes {
		f.awaitHistory(n)
	}
	return f
}

// awaitHistory waits until a node is ready and knows which software versions were in use before it
// started.
func (f *softwareFleet) awaitHistory(n *fixture) {
	f.awaitReady(n)
	n.waitUntil(func() bool {
		_, complete := n.process.serverSet.Software(time.Now())
		return complete
	})
}

func (f *softwareFleet) addEngine(version string) *standin.Machine {
	m := &standin.Machine{Name: fmt.Sprint("s", f.engines), Service: "engines", Model: model, Software: version, Handler: f.handle}
	f.engines++
	f.startMachine(m)
	return m
}

// handle streams events that name the software version.
func (f *softwareFleet) handle(s *standin.Server, w http.ResponseWriter, r *http.Request) {
	if f.breaks.Load() && r.Header.Get(standin.HeaderLastEventID) == "" {
		standin.StreamSoftware(2, 5*time.Millisecond)(s, w, r)
		panic(http.ErrAbortHandler)
	}
	pause := 5 * time.Millisecond
	if f.slow.Load() {
		pause = slowEvent
	}
	standin.StreamSoftware(streamLength, pause)(s, w, r)
}

// callerStream is a stream as its caller has received it, over several tries.
type callerStream struct {
	// first is the ID of the try that brought the first event.
	first    string
	versions []string
	events   int
	status   int
	refusal  string
	header   http.Header
	complete bool
	took     time.Duration
	// onEvent is called after each event; nil if nothing is to be done.
	onEvent func()
}

var softwareTries atomic.Int64

// try sends the stream's next try to a node, and reads events until the stream has limit events or
// ends. As callers do, it comes back to a node that has not heard from the store for some time.
func (s *callerStream) try(n *fixture, limit int, change func(*http.Request)) {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		s.tryOnce(n, limit, change)
		if !strings.Contains(s.refusal, string(failure.KindNotConfigured)) || n.isolated.Load() || time.Now().After(deadline) {
			return
		}
	}
}

func (s *callerStream) tryOnce(n *fixture, limit int, change func(*http.Request)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	id := fmt.Sprint("try-", softwareTries.Add(1))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.frontend.URL+"/stream/", strings.NewReader("turn"))
	require.NoError(n.t, err)
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set(standin.HeaderDeadline, "10000")
	request.Header.Set("Authorization", "Bearer "+key)
	setPromptHeaders(request)
	request.Header.Set(standin.HeaderPromptPrefix, fmt.Sprintf("%[1]x:800,%[1]xa:410,e440:250", softwareTries.Load()))
	if s.events > 0 {
		request.Header.Set(standin.HeaderResumes, s.first)
		request.Header.Set(standin.HeaderLastEventID, strconv.Itoa(s.events))
	}
	if change != nil {
		change(request)
	}
	startedAt := time.Now()
	defer func() { s.took = time.Since(startedAt) }()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	s.status, s.refusal = 0, ""
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status, s.header = response.StatusCode, response.Header
	if s.status != http.StatusOK {
		refusal, _ := io.ReadAll(response.Body)
		s.refusal = string(refusal)
		return
	}
	s.read(response.Body, id, limit)
}

func (s *callerStream) read(body io.Reader, id string, limit int) {
	lines := bufio.NewScanner(body)
	for s.events < limit && lines.Scan() {
		event, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		version, _, _ := strings.Cut(event, " ")
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
		if s.events == 0 {
			s.first = id
		}
		s.events++
		if s.onEvent != nil {
			s.onEvent()
		}
	}
	s.complete = s.events == streamLength
}

// runStreams runs softwareStreams concurrently, and returns them.
func runStreams(run func(i int, s *callerStream)) []*callerStream {
	streams := make([]*callerStream, softwareStreams)
	var done sync.WaitGroup
	for i := range streams {
		streams[i] = &callerStream{}
		done.Go(func() { run(i, streams[i]) })
	}
	done.Wait()
	return streams
}

// requireOneVersion checks that no stream holds events of two software versions.
func requireOneVersion(t *testing.T, streams []*callerStream) {
	t.Helper()
	for _, s := range streams {
		require.LessOrEqual(t, len(s.versions), 1, "a stream has events of software versions %v", s.versions)
	}
}

// requireContinued checks that streams of each version went on to their ends.
func requireContinued(t *testing.T, streams []*callerStream, least int) {
	t.Helper()
	requireOneVersion(t, streams)
	complete, refusal := 0, ""
	for _, s := range streams {
		if s.complete {
			complete++
		} else {
			refusal = fmt.Sprint(s.status, " ", s.refusal, " after ", s.events, " events")
		}
	}
	require.GreaterOrEqual(t, complete, least, "streams that went on; one did not: %s", refusal)
}

// requireRefused checks that a try was refused at once, as not run, with a remedy.
func (s *callerStream) requireRefused(t *testing.T) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, s.status, "%v %s", s.versions, s.refusal)
	require.Contains(t, s.refusal, "not-run")
	require.Contains(t, s.refusal, "from its beginning")
	require.Less(t, s.took, time.Second)
}

// Guards against a broken stream that goes on at another software version in the same answer.
func TestStreamGoesOnAtItsVersionInOneAnswer(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 1, "v1", "v2", "v3")
	f.nodes[0].awaitRetryShare()
	f.breaks.Store(true)
	streams := runStreams(func(_ int, s *callerStream) { s.try(f.nodes[0], streamLength, nil) })
	requireContinued(t, streams, minContinued)
}

// Guards against a stream that a caller takes up at another node, where it goes on at another
// software version.
func TestCallerResumesStreamAtItsVersion(t *testing.T) {
	t.Run("at another node, at once", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1", "v2", "v3")
		requireContinued(t, runStreams(func(i int, s *callerStream) {
			s.try(f.nodes[i%4], 1, nil)
			s.try(f.nodes[(i+1)%4], streamLength, nil)
		}), minContinued)
	})
	t.Run("several times", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1", "v2", "v3")
		requireContinued(t, runStreams(func(i int, s *callerStream) {
			for try := range 4 {
				s.try(f.nodes[(i+try)%4], 2*try+1, nil)
			}
			s.try(f.nodes[i%4], streamLength, nil)
		}), minContinued)
	})
	t.Run("after its node is killed", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1", "v2", "v3")
		var began sync.WaitGroup
		began.Add(softwareStreams)
		killed := make(chan struct{})
		go func() {
			began.Wait()
			f.nodes[0].crash()
			close(killed)
		}()
		requireContinued(t, runStreams(func(i int, s *callerStream) {
			s.try(f.nodes[0], 1, nil)
			began.Done()
			<-killed
			s.try(f.nodes[1+i%3], streamLength, nil)
		}), minContinued)
	})
	t.Run("while its node is cut off from the others", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1", "v2", "v3")
		var began sync.WaitGroup
		began.Add(softwareStreams)
		cut := make(chan struct{})
		go func() {
			began.Wait()
			f.nodes[0].setIsolated(true)
			close(cut)
		}()
		requireContinued(t, runStreams(func(i int, s *callerStream) {
			s.try(f.nodes[0], 1, nil)
			began.Done()
			<-cut
			s.try(f.nodes[1+i%3], streamLength, nil)
		}), minContinued)
	})
	t.Run("after the other versions came", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1")
		var began sync.WaitGroup
		began.Add(softwareStreams)
		came := make(chan struct{})
		go func() {
			began.Wait()
			f.addEngine("v2")
			f.addEngine("v2")
			f.nodes[0].waitUntil(func() bool {
				records := 0
				for _, n := range f.nodes[1:] {
					records += n.process.origins.Len()
				}
				return records >= softwareStreams
			})
			f.nodes[0].crash()
			close(came)
		}()
		requireContinued(t, runStreams(func(i int, s *callerStream) {
			s.try(f.nodes[0], 1, nil)
			began.Done()
			<-came
			s.try(f.nodes[1+i%3], streamLength, nil)
		}), minContinued)
	})
	t.Run("after a roll-out of the nodes", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 4, "v1", "v2", "v3")
		streams := runStreams(func(_ int, s *callerStream) { s.try(f.nodes[0], 1, nil) })
		// All nodes that can know the streams stop gracefully, one after the other.
		for _, n := range f.nodes[:4] {
			next := f.addNode()
			f.awaitHistory(next)
			n.process.handOverOrigins(t.Context())
			n.crash()
			f.running--
		}
		for i, s := range streams {
			s.try(f.nodes[4+i%4], streamLength, nil)
		}
		requireContinued(t, streams, minContinued)
	})
	t.Run("of the only version, without a record", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 2, "v1")
		for _, resumes := range []string{"", "nothing", strings.Repeat("x", 900), "a b;c"} {
			s := &callerStream{events: 3, versions: []string{"v1"}, first: resumes}
			s.try(f.nodes[0], streamLength, nil)
			requireContinued(t, []*callerStream{s}, 1)
		}
	})
	t.Run("without any node that knew it, and without its record in the store", func(t *testing.T) {
		t.Parallel()
		f := newSoftwareFleet(t, 2, "v1", "v2")
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if r.Method == http.MethodPost {
				return standin.FaultUnavailable
			}
			return standin.FaultNone
		})
		streams := runStreams(func(i int, s *callerStream) { s.try(f.nodes[i%2], 1, nil) })
		for _, n := range f.nodes {
			n.crash()
		}
		f.store.SetFault(nil)
		f.running = 0
		next := f.addNode()
		f.awaitHistory(next)
		for _, s := range streams {
			s.try(next, streamLength, nil)
			s.requireRefused(t)
		}
	})
}

// Guards against a caller's stream that goes on at a version that is only guessed.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 2, "v1", "v2")
	for _, resumes := range []string{"", "nothing", strings.Repeat("x", 900), "a b;c"} {
		s := &callerStream{events: 3, first: resumes}
		s.try(f.nodes[0], streamLength, nil)
		s.requireRefused(t)
	}
	other := &callerStream{}
	other.try(f.nodes[0], 1, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-of-two") })
	require.Equal(t, 1, other.events)
	other.try(f.nodes[1], streamLength, nil)
	other.requireRefused(t)
	other.try(f.nodes[1], streamLength, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-of-two") })
	requireContinued(t, []*callerStream{other}, 1)
}

// Guards against a stream that waits for, or is sent to, servers that cannot continue it, once the
// servers of its version are gone.
func TestStreamWithoutServersOfItsVersionIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 2, "v1", "v2")
	streams := runStreams(func(i int, s *callerStream) { s.try(f.nodes[i%2], 1, nil) })
	for _, m := range f.machines[:2] {
		m.Stop()
		for _, incarnation := range m.Incarnations() {
			f.store.Remove(standin.PrefixServers + incarnation.Instance)
		}
	}
	for _, n := range f.nodes {
		n.waitUntil(func() bool { return len(n.process.serverSet.Servers(time.Now())) == 2 })
	}
	for i, s := range streams {
		began := s.versions[0]
		s.try(f.nodes[(i+1)%2], streamLength, nil)
		requireOneVersion(t, []*callerStream{s})
		if began == "v1" {
			s.requireRefused(t)
			require.Empty(t, s.header.Get("Retry-After"), "no later try of this stream can succeed")
		} else {
			requireContinued(t, []*callerStream{s}, 1)
		}
	}
}

// Guards against the version of a server's former incarnation being taken for that of the process
// that wrote the first event, or that continues a stream.
func TestStreamOfRestartedServerKeepsItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions     []string
		entryWritten bool
	}{
		"beside other versions, before its entry":       {[]string{"v1", "v2"}, false},
		"beside other versions, after its entry":        {[]string{"v1", "v2"}, true},
		"as the first of its version, before its entry": {[]string{"v1"}, false},
		"as the first of its version, after its entry":  {[]string{"v1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 2, c.versions...)
			r := &restartableServer{fixture: f.nodes[0]}
			former := r.startSoftware("v1", f.handle)
			f.machines = append(f.machines, nil)
			for _, n := range f.nodes {
				f.awaitReady(n)
				n.waitUntil(func() bool {
					before := former.Runs()
					(&callerStream{}).try(n, streamLength, nil)
					return former.Runs() > before
				})
			}
			// The next incarnation serves with other software before its entry is written.
			entry := former.Entry("engines", r.address, "a", "ready")
			next := r.startSoftware("v2", f.handle)
			f.store.Put(standin.PrefixServers+"i-1", entry)
			streams := runStreams(func(i int, s *callerStream) { s.try(f.nodes[i%2], 1, nil) })
			if c.entryWritten {
				f.nodes[0].registerServer(next, r.address, "ready")
			}
			var done sync.WaitGroup
			for i, s := range streams {
				done.Go(func() { s.try(f.nodes[(i+1)%2], streamLength, nil) })
			}
			done.Wait()
			requireOneVersion(t, streams)
			f.breaks.Store(true)
			requireOneVersion(t, runStreams(func(i int, s *callerStream) {
				s.try(f.nodes[i%2], streamLength, nil)
				s.try(f.nodes[(i+1)%2], streamLength, nil)
			}))
		})
	}
}

// Guards against a stream that goes on at another version, or is given up, where its node reaches the
// servers through other nodes only.
func TestStreamGoesOnAtItsVersionThroughPeers(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1", "v2")
	links := newServerLinks(f.nodes[0])
	for _, n := range f.nodes {
		n.awaitRetryShare()
		n.waitUntil(func() bool { return countServed(n.makeMany(resumableStream, 8)) == 8 })
	}
	links.set(linksReset)
	f.nodes[0].waitUntil(func() bool { return countServed(f.nodes[0].makeMany(resumableStream, 8)) == 8 })
	f.breaks.Store(true)
	requireContinued(t, runStreams(func(_ int, s *callerStream) { s.try(f.nodes[0], streamLength, nil) }), minContinued)
	f.breaks.Store(false)
	requireContinued(t, runStreams(func(i int, s *callerStream) {
		s.try(f.nodes[i%2], 1, nil)
		s.try(f.nodes[1-i%2], streamLength, nil)
	}), minContinued)
}

// Guards against a node that guesses because it cannot ask: it continues what it began itself, and
// refuses what it does not know.
func TestNodeOutOfTouchContinuesOnlyWhatItKnows(t *testing.T) {
	t.Parallel()
	f := newSoftwareFleet(t, 3, "v1")
	own, foreign := &callerStream{}, &callerStream{}
	// A node begins no stream before it knows that the version is recorded.
	f.nodes[0].waitUntil(func() bool { own.try(f.nodes[0], 1, nil); return own.events == 1 })
	f.nodes[1].waitUntil(func() bool { foreign.try(f.nodes[1], 1, nil); return foreign.events == 1 })
	f.nodes[0].setIsolated(true)
	own.try(f.nodes[0], streamLength, nil)
	requireContinued(t, []*callerStream{own}, 1)
	foreign.try(f.nodes[0], streamLength, nil)
	foreign.requireRefused(t)
	f.addEngine("v2")
	f.addEngine("v2")
	f.nodes[1].waitUntil(func() bool { return f.nodes[1].process.serverSet.MixesSoftware("engines", time.Now()) })
	other := &callerStream{}
	f.nodes[1].waitUntil(func() bool {
		other = &callerStream{}
		other.try(f.nodes[1], 1, nil)
		return slices.Contains(other.versions, "v2")
	})
	for _, s := range []*callerStream{other, foreign} {
		s.try(f.nodes[0], streamLength, nil)
		// By now the node may not be able to verify keys either.
		require.Equal(t, http.StatusServiceUnavailable, s.status, s.refusal)
		require.Contains(t, s.refusal, "not-run")
	}
	f.nodes[0].setIsolated(false)
	for _, s := range []*callerStream{other, foreign} {
		f.nodes[0].waitUntil(func() bool {
			s.try(f.nodes[0], streamLength, nil)
			return s.complete
		})
	}
	requireOneVersion(t, []*callerStream{own, other, foreign})
}

// Guards against a version that is concluded beside nodes of a build that keeps no records: with two
// versions their streams are refused, with one they go on.
func TestStreamsOfFormerBuildsAreNotGuessed(t *testing.T) {
	t.Parallel()
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		f := newSoftwareFleet(t, 3, versions...)
		f.nodes[1].keepNoOrigins.Store(true)
		f.nodes[2].keepNoOrigins.Store(true)
		// What a former build begins is recorded nowhere.
		s := &callerStream{events: 2, first: "try-of-former-build"}
		s.try(f.nodes[0], streamLength, nil)
		if len(versions) > 1 {
			s.requireRefused(t)
		} else {
			requireContinued(t, []*callerStream{s}, 1)
		}
		// What this build begins goes on at the same node.
		own := &callerStream{}
		own.try(f.nodes[0], 1, nil)
		own.try(f.nodes[0], streamLength, nil)
		requireContinued(t, []*callerStream{own}, 1)
	}
}
