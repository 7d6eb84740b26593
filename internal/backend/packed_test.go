package backend

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestPackRoundTrip(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		var list []Server
		for i := range rapid.IntRange(0, 30).Draw(t, "servers") {
			server := Server{
				Instance: fmt.Sprint("i-", i), Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Address: fmt.Sprint("a-", i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: rapid.IntRange(0, 2).Draw(t, "slots"),
				Software: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "software"),
				Draining: rapid.Bool().Draw(t, "draining"), Revision: rapid.Int64Range(0, 99).Draw(t, "revision"), Created: rapid.Int64Range(0, 9).Draw(t, "created"),
			}
			if rapid.Bool().Draw(t, "holds a model") {
				server.Versions = map[string]int64{"m": rapid.Int64Range(1, 3).Draw(t, "version")}
			}
			list = append(list, server)
		}
		encoded := bytes.Buffer{}
		require.NoError(t, gob.NewEncoder(&encoded).Encode(Pack(list)))
		var packed Packed
		require.NoError(t, gob.NewDecoder(&encoded).Decode(&packed))
		require.Equal(t, len(list) == 0, packed.Empty())
		got, err := packed.Unpack()
		require.NoError(t, err)
		require.Equal(t, list, got)
	})
}

func TestUnpackRejectsMalformedList(t *testing.T) {
	good := Pack([]Server{{Instance: "i-1"}, {Instance: "i-2"}})
	for name, corrupt := range map[string]func(p *Packed){
		"an address is missing":          func(p *Packed) { p.Address = p.Address[:1] },
		"an instance is missing":         func(p *Packed) { p.Instance = nil },
		"a revision is missing":          func(p *Packed) { p.Revision = p.Revision[:1] },
		"a creation revision is missing": func(p *Packed) { p.Created = p.Created[:1] },
		"a kind out of range":            func(p *Packed) { p.Kind = []int{0, 1} },
		"a negative kind":                func(p *Packed) { p.Kind = []int{0, -1} },
		"no kinds":                       func(p *Packed) { p.Kinds = nil },
		"more instances than servers":    func(p *Packed) { p.Instance = append([]string{"i-0"}, p.Instance...) },
	} {
		corrupted := good
		corrupt(&corrupted)
		list, err := corrupted.Unpack()
		require.Error(t, err, name)
		require.Nil(t, list, name)
	}
}

// Guards against a large encoding: the list of 10,000 servers is sent to all nodes that start at
// once.
func TestPackedSizePerServer(t *testing.T) {
	const servers, mostEach = 10_000, 48
	var list []Server
	for i := range servers {
		list = append(list, Server{
			Instance: fmt.Sprintf("i-%010x", i*7919), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:8720", i%5, i/250, i%250),
			Zone: fmt.Sprint("zone-", i%5), Slots: 16, Versions: map[string]int64{"model": 1}, Revision: int64(2 * i), Created: int64(2 * i),
		})
	}
	encoded := bytes.Buffer{}
	require.NoError(t, gob.NewEncoder(&encoded).Encode(Pack(list)))
	t.Logf("%d bytes per server", encoded.Len()/servers)
	require.LessOrEqual(t, encoded.Len()/servers, mostEach)
}

// Guards against sums of slots that wrap: a node of a former build passes on whatever an entry says.
func TestImpossibleSlotsOfPackedListAreUnknown(t *testing.T) {
	for _, slots := range []int{math.MinInt64, -1, MaxSlots + 1, math.MaxInt32 + 1, math.MaxInt64 / 2, math.MaxInt64} {
		list, err := Pack([]Server{{Instance: "i-1", Slots: slots}, {Instance: "i-2", Slots: MaxSlots}, {Instance: "i-3", Slots: 8}}).Unpack()
		require.NoError(t, err)
		require.Equal(t, []int{0, MaxSlots, 8}, []int{list[0].Slots, list[1].Slots, list[2].Slots}, "%d", slots)
	}
}
