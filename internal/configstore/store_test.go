package configstore

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/property"
)

// flakyService is a key-value service that loses responses after committing,
// rejects requests, and commits transactions long after their caller gave up.
type flakyService struct {
	t        *rapid.T
	store    *kvstub.Store
	delayed  []kvservice.TxnRequest
	reliable bool
}

var errNoResponse = errors.New("no response")

func (service *flakyService) drawFault() string {
	if service.reliable {
		return "fine"
	}
	return rapid.SampledFrom([]string{"fine", "fine", "fine", "lost answer", "refused", "delayed"}).Draw(service.t, "fate")
}

func (service *flakyService) Get(_ context.Context, key string) (kvservice.KeyValue, error) {
	if fault := service.drawFault(); fault != "fine" {
		return kvservice.KeyValue{}, errNoResponse
	}
	response := service.store.Get(kvservice.RangeRequest{Key: []byte(key)})
	if len(response.Kvs) == 0 {
		return kvservice.KeyValue{}, nil
	}
	return response.Kvs[0], nil
}

func (service *flakyService) List(_ context.Context, prefix string) ([]kvservice.KeyValue, error) {
	if fault := service.drawFault(); fault != "fine" {
		return nil, errNoResponse
	}
	end := []byte(prefix)
	end[len(end)-1]++
	return service.store.Get(kvservice.RangeRequest{Key: []byte(prefix), RangeEnd: end}).Kvs, nil
}

func (service *flakyService) Commit(_ context.Context, transaction kvservice.TxnRequest) (kvservice.TxnResponse, error) {
	switch service.drawFault() {
	case "lost answer":
		service.store.Commit(transaction)
		return kvservice.TxnResponse{}, errNoResponse
	case "refused":
		return kvservice.TxnResponse{}, errNoResponse
	case "delayed":
		service.delayed = append(service.delayed, transaction)
		return kvservice.TxnResponse{}, errNoResponse
	default:
		return service.store.Commit(transaction), nil
	}
}

// commitDelayed commits the oldest delayed transaction.
func (service *flakyService) commitDelayed() {
	if len(service.delayed) > 0 {
		service.store.Commit(service.delayed[0])
		service.delayed = service.delayed[1:]
	}
}

func declaration(tenants int) *configuration.Declaration {
	result := &configuration.Declaration{Version: 1, Fleet: "test"}
	for index := range tenants {
		result.Tenants = append(result.Tenants, configuration.Tenant{Name: fmt.Sprintf("tenant-%03d", index), Class: "c", Weight: 1})
	}
	return result
}

// TestChangeIsAcceptedIfAndOnlyIfInForce proposes competing changes through a
// service that fails on any call. Accepted changes must appear in the revision
// history, rejected ones must never appear, and Settle must resolve those with an
// unknown outcome.
func TestChangeIsAcceptedIfAndOnlyIfInForce(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		service := &flakyService{t: t, store: kvstub.NewStore()}
		store := New(service)
		accepted, rejected, unknown := []string{}, []string{}, []string{}
		history := map[string]int64{}
		lastRevision := int64(0)
		observe := func() {
			reliable := New(&flakyService{t: t, store: service.store, reliable: true})
			version, err := reliable.Read(context.Background(), nil)
			require.NoError(t, err)
			if version != nil {
				history[version.Manifest.ChangeID] = version.Revision
				lastRevision = version.Revision
			}
		}
		bases := []*Version{nil}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "late effect") {
				service.commitDelayed()
				observe()
			}
			if base, err := store.Read(context.Background(), nil); err == nil && base != nil {
				bases = append(bases, base)
			}
			base := bases[rapid.IntRange(max(0, len(bases)-3), len(bases)-1).Draw(t, "base")]
			change := fmt.Sprintf("change-%d", step)
			currentRevision := lastRevision
			version, err := store.Propose(context.Background(), base, change, declaration(rapid.IntRange(0, 300).Draw(t, "tenants")))
			observe()
			switch {
			case err == nil:
				accepted = append(accepted, change)
				require.Equal(t, history[change], version.Revision)
				require.Equal(t, currentRevision, revisionOf(base), "a change must not overwrite a revision that its operator had not read")
			case failure.Is(err, failure.KindConflict) || failure.As(err).Outcome == failure.NotRun:
				rejected = append(rejected, change)
			default:
				unknown = append(unknown, change)
			}
		}
		service.reliable = true
		for _, change := range unknown {
			ok, err := store.Settle(context.Background(), change)
			require.NoError(t, err)
			if ok {
				accepted = append(accepted, change)
			} else {
				rejected = append(rejected, change)
			}
		}
		for len(service.delayed) > 0 {
			service.commitDelayed()
			observe()
		}
		for _, change := range accepted {
			require.Contains(t, history, change, "accepted changes must be in the history")
		}
		for _, change := range rejected {
			require.NotContains(t, history, change, "rejected changes must never be in the history")
		}
	})
}

func TestSplitJoinRoundTrip(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		original := declaration(rapid.IntRange(0, 500).Draw(t, "tenants"))
		parts, err := Split(original)
		require.NoError(t, err)
		joined, err := Join(parts)
		require.NoError(t, err)
		require.Len(t, joined.Tenants, len(original.Tenants))
		resplit, err := Split(joined)
		require.NoError(t, err)
		require.Equal(t, parts, resplit)
	})
}

func TestTenantChangeRewritesOnePart(t *testing.T) {
	changing := declaration(31_000)
	before, err := Split(changing)
	require.NoError(t, err)
	changing.Tenants[77].Weight = 2
	after, err := Split(changing)
	require.NoError(t, err)
	rewritten, bytes := 0, 0
	for index := range after {
		if after[index].Digest != before[index].Digest {
			rewritten++
			bytes += len(after[index].Data)
		}
	}
	require.Equal(t, 1, rewritten)
	t.Logf("%d parts, %d bytes rewritten", len(after), bytes)
}

func TestCompiledPartsMarshalToSameBytes(t *testing.T) {
	parts, err := Split(declaration(200))
	require.NoError(t, err)
	version := &Version{Revision: 1, Parts: append([]Part(nil), parts...)}
	snapshot, err := version.Compile()
	require.NoError(t, err)
	require.Len(t, snapshot.Declaration.Tenants, 200)
	for index := range version.Parts {
		data, err := version.Parts[index].Bytes()
		require.NoError(t, err)
		require.Equal(t, string(parts[index].Data), string(data))
	}
	rejoined, err := Join(version.Parts)
	require.NoError(t, err)
	require.Equal(t, snapshot.Declaration.Tenants, rejoined.Tenants)
}

func TestCorruptPartIsRejected(t *testing.T) {
	parts, err := Split(declaration(1))
	require.NoError(t, err)
	parts[1].Data = []byte(`[]`)
	_, err = Join(parts)
	require.ErrorContains(t, err, "digest")
}
