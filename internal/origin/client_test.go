package origin

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/property"
)

var v1 = Origin{Service: "s", Software: "v1"}

// peer is a node that holds records.
type peer struct {
	node   fleet.Node
	ledger *Ledger
	server *httptest.Server
}

func newPeer(t *testing.T, name, zone string) *peer {
	p := &peer{ledger: NewLedger()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathRecords, RecordsHandler(p.ledger))
	mux.HandleFunc("POST "+PathLookup, LookupHandler(p.ledger))
	p.server = httptest.NewServer(mux)
	t.Cleanup(p.server.Close)
	p.node = fleet.Node{Name: name, Zone: zone, Address: p.server.Listener.Addr().String()}
	return p
}

func newPeers(t *testing.T, count int) []*peer {
	peers := make([]*peer, count)
	for i := range peers {
		peers[i] = newPeer(t, fmt.Sprint("node-", i), fmt.Sprint("zone-", i%3))
	}
	return peers
}

// clientOf returns the client of a node that knows some peers, except itself.
func clientOf(t *testing.T, self string, peers ...*peer) *Client {
	nodes := func() []fleet.Node {
		var others []fleet.Node
		for _, p := range peers {
			if p.node.Name != self {
				others = append(others, p.node)
			}
		}
		return others
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return NewClient(nodes, nodes, &http.Client{Transport: transport})
}

// Any node finds the origin of a stream, also after the node that began it and one holder are gone.
func TestRecordsOutliveNodes(t *testing.T) {
	peers := newPeers(t, 7)
	beginner := clientOf(t, "node-0", peers...)
	const streams = 60
	for i := range streams {
		require.True(t, beginner.Send(t.Context(), Key(i), v1))
	}
	require.Eventually(t, func() bool {
		held := 0
		for _, p := range peers {
			held += p.ledger.Len()
		}
		return held == streams*holdersPerStream
	}, 5*time.Second, time.Millisecond)
	peers[0].server.Close()
	peers[3].server.Close()
	asking := clientOf(t, "node-1", peers...)
	for i := range streams {
		finding := asking.Find(t.Context(), Key(i))
		if !finding.Found {
			_, finding.Found = peers[1].ledger.Lookup(Key(i), boottime.Now())
			finding.Origin = v1
		}
		require.True(t, finding.Found, "%+v", finding)
		require.Equal(t, v1, finding.Origin)
	}
	unknown := asking.Find(t.Context(), 1e6)
	require.False(t, unknown.Found)
	require.GreaterOrEqual(t, unknown.Answered(), holdersAsked)
}

// A holder that fails is replaced by the next node, which nodes that ask find.
func TestRecordsGoToNodesThatAnswer(t *testing.T) {
	peers := newPeers(t, 6)
	peers[1].server.Close()
	peers[4].server.Close()
	beginner, asking := clientOf(t, "node-0", peers...), clientOf(t, "node-5", peers...)
	for i := range 40 {
		require.True(t, beginner.Send(t.Context(), Key(i), v1))
		if _, own := peers[5].ledger.Lookup(Key(i), boottime.Now()); !own {
			require.True(t, asking.Find(t.Context(), Key(i)).Found)
		}
	}
}

// Nodes of a build that keeps no records are passed over.
func TestNodesWithoutRecordsArePassedOver(t *testing.T) {
	peers := newPeers(t, 5)
	for _, former := range peers[1:4] {
		former.server.Config.Handler = http.NotFoundHandler()
	}
	client := clientOf(t, "node-0", peers...)
	require.True(t, client.Send(t.Context(), 1, v1))
	require.True(t, client.Find(t.Context(), 1).Found)
	finding := client.Find(t.Context(), 2)
	require.Equal(t, Finding{Without: 1, Unsupported: 3}, finding)
}

func TestWithoutOtherNodesNothingIsHeld(t *testing.T) {
	client := clientOf(t, "node-0")
	require.False(t, client.Send(t.Context(), 1, v1))
	require.Equal(t, Finding{}, client.Find(t.Context(), 1))
}

// Nodes agree on the holders, although each leaves out itself, and the holders are in two zones.
func TestNodesAgreeOnHolders(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		count, zones := rapid.IntRange(3, 40).Draw(t, "nodes"), rapid.IntRange(1, 4).Draw(t, "zones")
		all := make([]fleet.Node, count)
		for i := range all {
			all[i] = fleet.Node{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones)}
		}
		without := func(i int) []fleet.Node { return append(append([]fleet.Node{}, all[:i]...), all[i+1:]...) }
		beginner, asking := rapid.IntRange(0, count-1).Draw(t, "beginner"), rapid.IntRange(0, count-1).Draw(t, "asking")
		key := Key(rapid.Uint64().Draw(t, "key"))
		holders := rankHolders(key, without(beginner), holdersPerStream)
		asked := rankHolders(key, without(asking), holdersAsked)
		if zones > 1 && count > zones+1 {
			require.NotEqual(t, holders[0].Zone, holders[1].Zone)
		}
		reached := 0
		for _, holder := range holders {
			for _, node := range append(asked, all[asking]) {
				if node == holder {
					reached++
				}
			}
		}
		require.Positive(t, reached, "%v of %v asks %v", asking, holders, asked)
	})
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	p := newPeer(t, "node-0", "z")
	post := func(path string, body []byte) (int, string) {
		response, err := http.Post("http://"+p.node.Address+path, "", bytes.NewReader(body))
		require.NoError(t, err)
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(text)
	}
	encoded := func(message any) []byte {
		body, err := encode(message)
		require.NoError(t, err)
		return body
	}
	for _, path := range []string{PathRecords, PathLookup} {
		for _, body := range [][]byte{nil, []byte("garbage"), encoded(wireLookup{Format: 2, Key: 1}), bytes.Repeat([]byte{0xff}, MaxMessageBytes+1)} {
			status, text := post(path, body)
			require.Equal(t, http.StatusBadRequest, status)
			require.True(t, strings.Contains(text, "run builds that support"), text)
		}
	}
	truncated, err := records{v1, []Key{1, 2}}.encode()
	require.NoError(t, err)
	status, _ := post(PathRecords, truncated[:len(truncated)-1])
	require.Equal(t, http.StatusBadRequest, status)
	tooLong, err := records{v1, make([]Key, MaxMessageBytes/keyBytes)}.encode()
	require.NoError(t, err)
	status, _ = post(PathRecords, tooLong)
	require.Equal(t, http.StatusBadRequest, status)
	require.Zero(t, p.ledger.Len())
}

// Fields that a later build adds are passed over.
func TestLaterFieldsAreIgnored(t *testing.T) {
	body, err := records{v1, []Key{7}}.encode()
	require.NoError(t, err)
	var later bytes.Buffer
	require.NoError(t, gob.NewEncoder(&later).Encode("later"))
	p := newPeer(t, "node-0", "z")
	response, err := http.Post("http://"+p.node.Address+PathRecords, "", bytes.NewReader(append(body, later.Bytes()...)))
	require.NoError(t, err)
	response.Body.Close()
	got, found := p.ledger.Lookup(7, boottime.Now())
	require.True(t, found)
	require.Equal(t, v1, got)
}
