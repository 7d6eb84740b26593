package reflector

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// The files under testdata/former are messages of a build without eras, server start times and
// format versions, and the types named legacy… are copies of its types. Such builds and current
// ones run side by side during an upgrade.

type legacyQuestion struct {
	Feed            string
	Place           int64
	Wait            time.Duration
	Loads           backend.LoadsMark
	Node            string
	Declaration     int64
	Fleet           uint64
	Relay           bool
	Reader          bool
	Work            []legacyWork
	Quota           []byte
	Kept            residency.Place
	Suspicions      []byte
	SuspicionsPlace int64
}

type legacyWork struct {
	Server       uint64
	Running      int
	QueuedTokens int
	Suspects     int
}

type legacyDelta struct {
	Feed         string
	Place        int64
	Age          time.Duration
	BeliefAge    time.Duration
	DisturbedAgo time.Duration
	Weights      map[string]int64
	Nodes        int
	Sum          uint64
	Work         []legacyWork
	Quota        []byte
	Kept         []byte
	Servers      []byte
	Rest         []byte
}

type legacyServers struct {
	Whole   bool
	Changed legacyPacked
	Gone    []string
}

type legacyPacked struct {
	Kinds    []legacyServer
	Kind     []int
	Instance []string
	Address  []string
	Revision []int64
	Created  []int64
}

type legacyServer struct {
	Instance, Service, Address, Zone string
	Slots                            int
	Draining                         bool
	Versions                         map[string]int64
	Revision, Created                int64
}

type legacyRest struct {
	Loads           *backend.Loads
	Declaration     *catalog.Declaration
	Fleet           *legacyView
	Duties          []legacyEntry
	Suspicions      []quarantine.Item
	SuspicionsPlace int64
}

type legacyView struct {
	Nodes, Roomy int
	First        []legacyEntry
}

type legacyEntry struct {
	Key      string
	Value    []byte
	Revision int64
}

func golden(t *testing.T, name string) []byte {
	data, err := os.ReadFile(filepath.Join("testdata", "former", name))
	require.NoError(t, err)
	return data
}

func legacyWorkReport() workshare.Report {
	return workshare.Report{Work: []backend.Work{{Server: 9, Running: 2, QueuedTokens: 40, Suspects: 1}}}
}

func TestDecodesLegacyMessages(t *testing.T) {
	request, err := decodePollRequest(bytes.NewReader(golden(t, "question.gob")))
	require.NoError(t, err)
	require.Equal(t, coordination.Position{Revision: 3}, request.Place, "a legacy build sends no era")
	require.Equal(t, "n", request.Node)
	require.Equal(t, legacyWorkReport().Work, request.Own.Work)
	require.Len(t, request.Suspicions, 1)

	var wired wireDelta
	require.NoError(t, gob.NewDecoder(bytes.NewReader(golden(t, "delta.gob"))).Decode(&wired))
	delta, err := wired.delta()
	require.NoError(t, err)
	require.Equal(t, coordination.Position{Revision: 3}, delta.Place)
	require.Equal(t, []backend.Server{{Instance: "i", Service: "s", Address: "a", Zone: "z", Slots: 4, Draining: true, Revision: 3, Created: 2, Versions: map[string]int64{"m": 1}}}, delta.Changed)
	require.Equal(t, []coordination.Entry{{Key: "d", Revision: 4}}, delta.Duties)
	require.Equal(t, 9, delta.Fleet.Nodes)
	require.EqualValues(t, 7, delta.Declaration.Version)

	var group wireGroup
	require.NoError(t, gob.NewDecoder(bytes.NewReader(golden(t, "group.gob"))).Decode(&group))
	decoded, err := group.group()
	require.NoError(t, err)
	require.Equal(t, legacyWorkReport().Work, decoded.Report.Work)
	require.EqualValues(t, 3, decoded.Loads.Loading[0].Version)

	registry := &fleet.Registry{Name: "n", Prefix: "nodes/", OnResize: func(int) {}}
	require.NoError(t, registry.ObservePublishedView(golden(t, "view.gob"), time.Now()))
	require.Equal(t, 9, registry.Nodes())
}

func TestLegacyBuildDecodesMessages(t *testing.T) {
	encoded := &bytes.Buffer{}
	own := legacyWorkReport()
	own.Work[0].Prefill = capacity.VoteFor(50_000)
	request := PollRequest{Feed: "f", Place: at(3), Node: "n", Declaration: 5, Reader: true, Own: own}
	require.NoError(t, request.encode(encoded))
	var decodedRequest legacyQuestion
	require.NoError(t, gob.NewDecoder(encoded).Decode(&decodedRequest))
	require.EqualValues(t, 3, decodedRequest.Place)
	require.Equal(t, []legacyWork{{Server: 9, Running: 2, QueuedTokens: 40, Suspects: 1}}, decodedRequest.Work)

	encoded.Reset()
	delta := Delta{
		Feed: "f", Place: at(3), Whole: true, Changed: []backend.Server{{Instance: "i", Born: 17, Service: "s", Address: "a", Revision: 3, Versions: map[string]int64{"m": 1}}},
		Fleet: &fleet.View{Nodes: 9, First: []coordination.Entry{{Key: "n", Revision: 8, Era: coordination.EraOf(1)}}}, Duties: []coordination.Entry{{Key: "d", Revision: 4, Era: coordination.EraOf(1)}}, Others: legacyWorkReport(),
	}
	require.NoError(t, delta.encode(encoded))
	var decodedDelta legacyDelta
	require.NoError(t, gob.NewDecoder(encoded).Decode(&decodedDelta))
	require.EqualValues(t, 3, decodedDelta.Place)
	var servers legacyServers
	require.NoError(t, gob.NewDecoder(bytes.NewReader(decodedDelta.Servers)).Decode(&servers))
	require.Equal(t, []string{"i"}, servers.Changed.Instance, "a legacy build identifies servers by instance")
	var rest legacyRest
	require.NoError(t, gob.NewDecoder(bytes.NewReader(decodedDelta.Rest)).Decode(&rest))
	require.Equal(t, []legacyEntry{{Key: "d", Revision: 4}}, rest.Duties)
	require.Equal(t, 9, rest.Fleet.Nodes)
}

// A node follows an upstream of the legacy build until the store is restored, and leaves it then,
// since that build keeps its old list.
func TestLegacyUpstreamIsFollowedUntilStoreRestore(t *testing.T) {
	legacy := Delta{Place: coordination.Position{Revision: 5}, Whole: true, Changed: []backend.Server{{Instance: "i-1", Service: "s", Revision: 5}}, BeliefAge: 0}
	node := newFollower(&countingSource{}, &staticPeers{legacy})
	node.Eras = &coordination.EraTracker{}
	node.Eras.Observe(coordination.EraOf(1))
	require.NoError(t, node.poll(context.Background(), "former", &suspicionExchange{}))
	cursor, _ := node.Feed.cursor()
	require.Equal(t, at(5), cursor)
	node.Eras.Observe(coordination.EraOf(2))
	legacy.Place.Revision, legacy.Changed = 9, nil
	node.Peers = &staticPeers{legacy}
	require.Equal(t, errStaleUpstream, node.poll(context.Background(), "former", &suspicionExchange{}))
	cursor, _ = node.Feed.cursor()
	require.Equal(t, at(5), cursor, "its servers are ignored after the restore")
}

// formerPlace holds the fields of a place in messages of a build that knows eras, and leaves out an era of 0
// like one that it does not know.
type formerPlace struct {
	Format int
	Place  int64
	Era    int64
}

// A build that does not tell an era of 0 from one that is not known means 0 by a place without an era, if the
// store sends eras.
func TestMissingEraOfFormerBuildIsReadAsMeant(t *testing.T) {
	for _, test := range []struct {
		name     string
		sent     formerPlace
		own, era coordination.Era
	}{
		{"era 0 before the restore", formerPlace{Format: 1, Place: 5}, coordination.EraOf(0), coordination.EraOf(0)},
		{"era 0 after the restore", formerPlace{Format: 1, Place: 5}, coordination.EraOf(1), coordination.EraOf(0)},
		{"era 1", formerPlace{Format: 1, Place: 5, Era: 1}, coordination.EraOf(0), coordination.EraOf(1)},
		{"a store without eras", formerPlace{Format: 1, Place: 5}, coordination.Era{}, coordination.Era{}},
		{"a build without eras", formerPlace{Place: 5}, coordination.EraOf(0), coordination.EraOf(0)},
		{"a build without eras after a start in era 1", formerPlace{Place: 5}, coordination.EraOf(1), coordination.EraOf(1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded := &bytes.Buffer{}
			require.NoError(t, gob.NewEncoder(encoded).Encode(test.sent))
			var wired wireDelta
			require.NoError(t, gob.NewDecoder(bytes.NewReader(encoded.Bytes())).Decode(&wired))
			delta, err := wired.delta()
			require.NoError(t, err)
			node := newFollower(&countingSource{}, &staticPeers{delta})
			node.Eras = &coordination.EraTracker{}
			node.Eras.Observe(test.own)
			require.True(t, node.reconcileEra(&delta))
			require.Equal(t, coordination.Position{Era: test.era, Revision: 5}, delta.Place)

			request, err := decodePollRequest(encoded)
			require.NoError(t, err)
			feed := newFeed("one")
			feed.apply(serverUpdate{whole: true, position: coordination.Position{Era: test.own, Revision: 3}})
			reply := feed.Respond(context.Background(), request)
			if test.era.Before(test.own) {
				require.True(t, reply.Whole, "its list is of an earlier era")
				require.Equal(t, coordination.Position{Era: test.own, Revision: 3}, reply.Place)
			} else {
				require.Equal(t, coordination.Position{Era: test.era, Revision: 5}, reply.Place)
			}
		})
	}
}

// A node in era 0 is told from one that knows no era, and nodes that have started since tell the first era on.
func TestEraZeroIsSentAsKnown(t *testing.T) {
	place := coordination.Position{Era: coordination.EraOf(0), Revision: 5}
	entries := []coordination.Entry{{Key: "k", Value: []byte("v"), Revision: 5, Era: coordination.EraOf(0)}}
	encoded := &bytes.Buffer{}
	record := &backend.SoftwareRecord{Versions: backend.SoftwareVersions{"s": {"v1"}}, Revision: 5, AsOf: place}
	require.NoError(t, Delta{Place: place, Fleet: &fleet.View{Nodes: 1, First: entries}, Duties: entries, Software: record, BeganAtZero: true}.encode(encoded))
	var wired wireDelta
	require.NoError(t, gob.NewDecoder(encoded).Decode(&wired))
	delta, err := wired.delta()
	require.NoError(t, err)
	require.Equal(t, place, delta.Place)
	require.Equal(t, entries, delta.Duties)
	require.Equal(t, entries, delta.Fleet.First)
	require.Equal(t, record, delta.Software)
	started := newFollower(&countingSource{}, &staticPeers{delta})
	started.Eras = &coordination.EraTracker{}
	started.Eras.Observe(coordination.EraOf(1))
	require.NoError(t, started.poll(context.Background(), "other", &suspicionExchange{}))
	require.True(t, started.Eras.BeganAtZero())

	encoded.Reset()
	require.NoError(t, started.request("other", &suspicionExchange{}).encode(encoded))
	request, err := decodePollRequest(encoded)
	require.NoError(t, err)
	feed := newFeed("one")
	feed.Eras = &coordination.EraTracker{}
	feed.Respond(context.Background(), request)
	require.True(t, feed.Eras.BeganAtZero())
}

// The first declaration may have version 0: a node without one is told from a node that has that.
func TestDeclarationOfVersionZeroIsSent(t *testing.T) {
	upstream := newFeed("one")
	upstream.replica.Store(catalog.Advance(nil, catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{}}))
	node := newFollower(&countingSource{}, &staticPeers{})
	ask := func() Delta {
		encoded := &bytes.Buffer{}
		require.NoError(t, node.request("one", &suspicionExchange{}).encode(encoded))
		request, err := decodePollRequest(encoded)
		require.NoError(t, err)
		request.Wait = 0
		return upstream.Respond(context.Background(), request)
	}
	delta := ask()
	require.NotNil(t, delta.Declaration)
	node.applyReplica(delta, time.Now())
	require.NotNil(t, node.Replica.Load().Snapshot)
	require.Nil(t, ask().Declaration, "it is sent once")
	require.Nil(t, upstream.Respond(context.Background(), PollRequest{}).Declaration, "a former build does not say whether it has one")
}

// An upstream that has no list of servers yet sends an unset cursor. The node that asked still lacks the list.
func TestUnsetCursorOfUpstreamIsNoPosition(t *testing.T) {
	for _, own := range []coordination.Era{{}, coordination.EraOf(0), coordination.EraOf(1), coordination.EraOf(7)} {
		t.Run("era "+own.String(), func(t *testing.T) {
			node := newFollower(&countingSource{}, &staticPeers{Delta{}})
			node.Eras = &coordination.EraTracker{}
			node.Eras.Observe(own)
			_ = node.poll(context.Background(), "other", &suspicionExchange{})
			cursor, _ := node.Feed.cursor()
			require.True(t, cursor.IsZero())
			require.True(t, node.uninitialized())
		})
	}
}

// staticPeers answers every poll with the same delta.
type staticPeers struct{ delta Delta }

func (f *staticPeers) Poll(context.Context, string, PollRequest) (Delta, error) { return f.delta, nil }
func (f *staticPeers) Group(context.Context, string, GroupRequest) (Group, error) {
	return Group{}, nil
}

func TestUnknownMessageFormatIsRejected(t *testing.T) {
	encoded := &bytes.Buffer{}
	require.NoError(t, gob.NewEncoder(encoded).Encode(wireQuestion{Format: messageFormat + 1, Node: "n"}))
	server := httptest.NewServer(Handler(newFeed("one")))
	defer server.Close()
	response, err := http.Post(server.URL, "", encoded)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	_, err = wireDelta{Format: messageFormat + 1}.delta()
	require.ErrorContains(t, err, "format 2, and this node reads up to 1")
	newer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, checkFormat(messageFormat+1).Error(), http.StatusBadRequest)
	}))
	defer newer.Close()
	caller := &PeerClient{Client: newer.Client()}
	_, err = caller.Poll(context.Background(), strings.TrimPrefix(newer.URL, "http://"), PollRequest{})
	require.ErrorContains(t, err, "format 2")
}
