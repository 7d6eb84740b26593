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

func TestAReaderTellsItsGroupsWorkInFewBytes(t *testing.T) {
	board := workshare.New(func() workshare.Report { return workshare.Report{Work: []backend.Work{{Server: 1, Running: 2}}} })
	board.TakeFollower("f", workshare.Report{Work: []backend.Work{{Server: 1, Running: 3, Suspects: 1}}}, time.Now())
	recorder := httptest.NewRecorder()
	kept := residency.NewLedger()
	feed := NewFeed("relay", &catalog.Holder{}, &fleet.Registry{}, board, kept, quarantine.NewLedger())
	WorkHandler(feed)(recorder, httptest.NewRequest(http.MethodGet, PathWork, nil))
	require.Less(t, recorder.Body.Len(), 200)

	server := httptest.NewServer(WorkHandler(feed))
	defer server.Close()
	caller, address := &Caller{Client: server.Client()}, strings.TrimPrefix(server.URL, "http://")
	kept.Replace("store", []residency.Key{1, 2})
	group, err := caller.Group(context.Background(), address, GroupQuestion{})
	require.NoError(t, err)
	require.Equal(t, []backend.Work{{Server: 1, Running: 5, Suspects: 1}}, group.Report.Work)
	heard := residency.NewLedger()
	hearer := residency.NewHearer(heard)
	require.NoError(t, hearer.Take(address, residency.Place{}, group.Kept, time.Now()))
	require.Equal(t, 3, heard.Held("store", "", []residency.Piece{{Key: 2, Tokens: 3}}, time.Now()))
	require.Nil(t, group.Loads, "no loads are known yet")
	loads := backend.Loads{Mark: backend.LoadsMark{Fence: 7, Sequence: 2}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 3}}}
	require.True(t, feed.TakeLoads(loads))
	require.False(t, feed.TakeLoads(backend.Loads{Mark: backend.LoadsMark{Fence: 7, Sequence: 1}}), "older loads are ignored")
	question := GroupQuestion{Kept: hearer.Place(address)}
	group, err = caller.Group(context.Background(), address, question)
	require.NoError(t, err)
	require.Nil(t, group.Kept, "updates are sent once")
	require.Equal(t, &loads, group.Loads)
	question.Loads = group.Loads.Mark
	group, err = caller.Group(context.Background(), address, question)
	require.NoError(t, err)
	require.Nil(t, group.Loads, "loads are sent once")
}

func TestADeltaIsReadAsItWasWritten(t *testing.T) {
	whole := Delta{
		Feed: "f", Place: at(3), Whole: true, Changed: []backend.Server{{Instance: "i", Address: "a", Revision: 3, Versions: map[string]int64{"m": 1}}}, Gone: []string{"g"},
		Loads: &backend.Loads{Mark: backend.LoadsMark{Fence: 1, Sequence: 2}}, Age: 4, BeliefAge: 5, DisturbedAgo: 6,
		Declaration: &catalog.Declaration{Version: 7}, Weights: map[string]int64{"m": 2},
		Fleet: &fleet.View{Nodes: 9, Roomy: 2, First: []coordination.Entry{{Key: "n", Value: []byte("v"), Revision: 8}}}, Nodes: 9, Sum: 12, Duties: []coordination.Entry{{Key: "d"}},
		Others: workshare.Report{Work: []backend.Work{{Server: 9, Running: 1}}}, Kept: []byte{1},
	}
	usual := Delta{Feed: "f", Place: at(3), BeliefAge: 1, DisturbedAgo: -1, Others: whole.Others}
	for _, delta := range []Delta{whole, usual} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			require.NoError(t, delta.encode(w))
		}))
		caller := &Caller{Client: server.Client()}
		got, err := caller.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), Question{})
		server.Close()
		require.NoError(t, err)
		require.Equal(t, delta, got)
	}
}

func TestAQuestionIsReadAsItWasWritten(t *testing.T) {
	whole := Question{
		Feed: "f", Place: at(3), Wait: 4, Loads: backend.LoadsMark{Fence: 2, Sequence: 1}, Node: "n", Declaration: 5, Fleet: 6, Relay: true, Reader: true,
		Own: workshare.Report{
			Work:  []backend.Work{{Server: 1, Running: 2}},
			Quota: quota.Report{Nodes: 1, Uses: []quota.Use{{Tenant: 7, Asked: 8, Admitted: 9}}},
		},
		Kept: residency.Place{Life: 10, Next: 11},
	}
	for _, question := range []Question{whole, {}} {
		encoded := bytes.Buffer{}
		require.NoError(t, question.encode(&encoded))
		read, err := decodeQuestion(&encoded)
		require.NoError(t, err)
		require.Equal(t, question, read)
	}
}

// Suspicions are transferred intact in requests and responses, and cost little while there are
// none.
func TestSuspicionsAreToldBothWays(t *testing.T) {
	items := []quarantine.Item{{Kind: quarantine.Ended, Fingerprint: 7, Server: 9, Age: time.Second}, {Kind: quarantine.Served, Fingerprint: 8}}
	size := func(encode func(io.Writer) error) int {
		text := bytes.Buffer{}
		require.NoError(t, encode(&text))
		return text.Len()
	}
	question := Question{Feed: "f", Node: "n", SuspicionsPlace: 4}
	quiet := size(question.encode)
	question.Suspicions = items
	text := bytes.Buffer{}
	require.NoError(t, question.encode(&text))
	decoded, err := decodeQuestion(&text)
	require.NoError(t, err)
	require.Equal(t, question, decoded)

	delta := Delta{Feed: "f", SuspicionsPlace: 6, Suspicions: items}
	text.Reset()
	require.NoError(t, delta.encode(&text))
	var wired wireDelta
	require.NoError(t, gob.NewDecoder(&text).Decode(&wired))
	told, err := wired.delta()
	require.NoError(t, err)
	require.Equal(t, delta.Suspicions, told.Suspicions)
	require.Equal(t, delta.SuspicionsPlace, told.SuspicionsPlace)

	question.Suspicions = nil
	question.SuspicionsPlace = 0
	require.LessOrEqual(t, quiet-size(question.encode), 4, "bytes of the cursor in a request")
	many := make([]quarantine.Item, 1000)
	for i := range many {
		many[i] = quarantine.Item{Kind: quarantine.Ended, Fingerprint: quarantine.Fingerprint(rand.Uint64()), Server: rand.Uint64(), Age: time.Duration(rand.Int64N(int64(time.Minute)))}
	}
	delta.Suspicions = many
	each := size(delta.encode) / len(many)
	t.Logf("%d bytes per item", each)
	require.LessOrEqual(t, each, 40)
}

// slowTransport delivers a response in pieces, with a pause before each.
type slowly struct {
	answer Delta
	pieces int
	pause  time.Duration
}

func (s *slowly) RoundTrip(request *http.Request) (*http.Response, error) {
	encoded := bytes.Buffer{}
	if err := s.answer.encode(&encoded); err != nil {
		return nil, err
	}
	body := &slowBody{done: request.Context().Done(), data: encoded.Bytes(), each: (encoded.Len() + s.pieces - 1) / s.pieces, pause: s.pause}
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

type slowBody struct {
	done  <-chan struct{}
	data  []byte
	each  int
	pause time.Duration
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
	n := copy(p[:min(len(p), b.each)], b.data)
	b.data = b.data[n:]
	return n, nil
}

// A full list may take as long as its bytes need on a slow link, within responseTimeout. A
// response that stops arriving times out.
func TestAnAnswerMayTakeAsLongAsItsBytesCome(t *testing.T) {
	for name, one := range map[string]struct {
		pieces int
		pause  time.Duration
		comes  bool
	}{
		"at once":              {1, 0, true},
		"slowly":               {8, 900 * time.Millisecond, true},
		"silent":               {2, silence + time.Millisecond, false},
		"for longer than ever": {40, 500 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			way := &slowly{answer: Delta{Feed: "f", Whole: true, Changed: manyServers(300)}, pieces: one.pieces, pause: one.pause}
			size := 0
			caller := &Caller{Client: &http.Client{Transport: way}, Heard: func(call string, bytes int) {
				require.Equal(t, "servers", call)
				size = bytes
			}}
			delta, err := caller.Ask(context.Background(), "relay", Question{})
			require.Equal(t, one.comes, err == nil, name)
			if one.comes {
				require.Len(t, delta.Changed, 300)
				require.Greater(t, size, 300*20, name)
			}
		})
	}
}
