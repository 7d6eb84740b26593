package reflector

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

func TestGroupResponseIsSmallAndIncremental(t *testing.T) {
	aggregator := workshare.New(func() workshare.Report { return workshare.Report{Work: []backend.Work{{Server: 1, Running: 2}}} })
	aggregator.SetFollower("f", workshare.Report{Work: []backend.Work{{Server: 1, Running: 3, Suspects: 1}}}, time.Now())
	recorder := httptest.NewRecorder()
	cache := residency.NewLedger()
	feed := NewFeed("relay", &catalog.AtomicReplica{}, &fleet.Registry{}, aggregator, cache, quarantine.NewLedger())
	WorkHandler(feed)(recorder, httptest.NewRequest(http.MethodGet, PathWork, nil))
	require.Less(t, recorder.Body.Len(), 200)

	server := httptest.NewServer(WorkHandler(feed))
	defer server.Close()
	caller, address := &PeerClient{Client: server.Client()}, strings.TrimPrefix(server.URL, "http://")
	cache.Replace("store", []residency.Key{1, 2})
	group, err := caller.Group(context.Background(), address, GroupRequest{})
	require.NoError(t, err)
	require.Equal(t, []backend.Work{{Server: 1, Running: 5, Suspects: 1}}, group.Report.Work)
	received := residency.NewLedger()
	receiver := residency.NewPeerReceiver(received)
	require.NoError(t, receiver.Receive(address, residency.Place{}, group.Kept, time.Now()))
	require.Equal(t, 3, received.CachedTokens("store", "", []residency.Piece{{Key: 2, Tokens: 3}}, time.Now()))
	require.Nil(t, group.Loads, "no loads are known yet")
	loads := backend.Loads{Mark: backend.LoadsMark{Fence: 7, Sequence: 2}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 3}}}
	require.True(t, feed.ApplyLoads(loads))
	require.False(t, feed.ApplyLoads(backend.Loads{Mark: backend.LoadsMark{Fence: 7, Sequence: 1}}), "older loads are ignored")
	request := GroupRequest{Kept: receiver.Place(address)}
	group, err = caller.Group(context.Background(), address, request)
	require.NoError(t, err)
	require.Nil(t, group.Kept, "updates are sent once")
	require.Equal(t, &loads, group.Loads)
	request.Loads = group.Loads.Mark
	group, err = caller.Group(context.Background(), address, request)
	require.NoError(t, err)
	require.Nil(t, group.Loads, "loads are sent once")
}

func TestDeltaRoundTrip(t *testing.T) {
	full := Delta{
		Feed: "f", Place: at(3), Whole: true, Changed: []backend.Server{{Instance: "i", Address: "a", Revision: 3, Versions: map[string]int64{"m": 1}}}, Gone: []string{"g"},
		Loads: &backend.Loads{Mark: backend.LoadsMark{Fence: 1, Sequence: 2}}, Age: 4, BeliefAge: 5, DisturbedAgo: 6,
		Declaration: &catalog.Declaration{Version: 7}, Weights: map[string]int64{"m": 2},
		Fleet: &fleet.View{Nodes: 9, Roomy: 2, First: []coordination.Entry{{Key: "n", Value: []byte("v"), Revision: 8}}}, Nodes: 9, Sum: 12, Duties: []coordination.Entry{{Key: "d"}},
		Others: workshare.Report{Work: []backend.Work{{Server: 9, Running: 1}}}, Kept: []byte{1},
	}
	typical := Delta{Feed: "f", Place: at(3), BeliefAge: 1, DisturbedAgo: -1, Others: full.Others}
	for _, delta := range []Delta{full, typical} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			require.NoError(t, delta.encode(w))
		}))
		caller := &PeerClient{Client: server.Client()}
		got, err := caller.Poll(context.Background(), strings.TrimPrefix(server.URL, "http://"), PollRequest{})
		server.Close()
		require.NoError(t, err)
		require.Equal(t, delta, got)
	}
}

func TestPollRequestRoundTrip(t *testing.T) {
	full := PollRequest{
		Feed: "f", Place: at(3), Wait: 4, Loads: backend.LoadsMark{Fence: 2, Sequence: 1}, Node: "n", Declaration: 5, Fleet: 6, Relay: true, Reader: true,
		Own: workshare.Report{
			Work:  []backend.Work{{Server: 1, Running: 2}},
			Quota: quota.Report{Nodes: 1, Usages: []quota.Usage{{Key: 7, Requested: 8, Admitted: 9}}},
		},
		Kept: residency.Place{Life: 10, Next: 11},
	}
	for _, request := range []PollRequest{full, {}} {
		encoded := bytes.Buffer{}
		require.NoError(t, request.encode(&encoded))
		decoded, err := decodePollRequest(&encoded)
		require.NoError(t, err)
		require.Equal(t, request, decoded)
	}
}

// Suspicions are transferred intact in requests and responses, and cost little while there are
// none.
func TestSuspicionsRoundTripInRequestsAndResponses(t *testing.T) {
	items := []quarantine.Item{{Kind: quarantine.KindCrashed, Fingerprint: 7, Server: 9, Age: time.Second}, {Kind: quarantine.KindServed, Fingerprint: 8}}
	size := func(encode func(io.Writer) error) int {
		text := bytes.Buffer{}
		require.NoError(t, encode(&text))
		return text.Len()
	}
	request := PollRequest{Feed: "f", Node: "n", SuspicionsPlace: 4}
	idleSize := size(request.encode)
	request.Suspicions = items
	text := bytes.Buffer{}
	require.NoError(t, request.encode(&text))
	decoded, err := decodePollRequest(&text)
	require.NoError(t, err)
	require.Equal(t, request, decoded)

	delta := Delta{Feed: "f", SuspicionsPlace: 6, Suspicions: items}
	text.Reset()
	require.NoError(t, delta.encode(&text))
	var wired wireDelta
	require.NoError(t, gob.NewDecoder(&text).Decode(&wired))
	received, err := wired.delta()
	require.NoError(t, err)
	require.Equal(t, delta.Suspicions, received.Suspicions)
	require.Equal(t, delta.SuspicionsPlace, received.SuspicionsPlace)

	request.Suspicions = nil
	request.SuspicionsPlace = 0
	require.LessOrEqual(t, idleSize-size(request.encode), 4, "bytes of the cursor in a request")
	many := make([]quarantine.Item, 1000)
	for i := range many {
		many[i] = quarantine.Item{Kind: quarantine.KindCrashed, Fingerprint: quarantine.Fingerprint(rand.Uint64()), Server: rand.Uint64(), Age: time.Duration(rand.Int64N(int64(time.Minute)))}
	}
	delta.Suspicions = many
	itemSize := size(delta.encode) / len(many)
	t.Logf("%d bytes per item", itemSize)
	require.LessOrEqual(t, itemSize, 40)
}

// slowTransport delivers a response in pieces, with a pause before each.
type slowTransport struct {
	delta  Delta
	pieces int
	pause  time.Duration
}

func (s *slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	encoded := bytes.Buffer{}
	if err := s.delta.encode(&encoded); err != nil {
		return nil, err
	}
	body := &slowBody{done: request.Context().Done(), data: encoded.Bytes(), chunkSize: (encoded.Len() + s.pieces - 1) / s.pieces, pause: s.pause}
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

type slowBody struct {
	done      <-chan struct{}
	data      []byte
	chunkSize int
	pause     time.Duration
}

func (b *slowBody) Close() error { return nil }

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pause):
	case <-b.done:
		return 0, context.Canceled
	}
	n := copy(p[:min(len(p), b.chunkSize)], b.data)
	b.data = b.data[n:]
	return n, nil
}

// A full list may take as long as its bytes need on a slow link, within responseTimeout. A
// response that stops arriving times out.
func TestResponseTimesOutOnlyWithoutProgress(t *testing.T) {
	for name, test := range map[string]struct {
		pieces int
		pause  time.Duration
		comes  bool
	}{
		"at once":                     {1, 0, true},
		"slowly":                      {8, 900 * time.Millisecond, true},
		"silent":                      {2, idleTimeout + time.Millisecond, false},
		"beyond the response timeout": {40, 500 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			transport := &slowTransport{delta: Delta{Feed: "f", Whole: true, Changed: newServers(300)}, pieces: test.pieces, pause: test.pause}
			size := 0
			caller := &PeerClient{Client: &http.Client{Transport: transport}, OnResponse: func(call string, bytes int) {
				require.Equal(t, "servers", call)
				size = bytes
			}}
			delta, err := caller.Poll(context.Background(), "relay", PollRequest{})
			require.Equal(t, test.comes, err == nil, name)
			if test.comes {
				require.Len(t, delta.Changed, 300)
				require.Greater(t, size, 300*20, name)
			}
		})
	}
}
