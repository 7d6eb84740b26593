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
type unreliable struct {
	t       *rapid.T
	store   *kvstub.Store
	delayed []kvservice.TxnRequest
	calm    bool
}

var errNoAnswer = errors.New("no response")

func (service *unreliable) fate() string {
	if service.calm {
		return "fine"
	}
	return rapid.SampledFrom([]string{"fine", "fine", "fine", "lost answer", "refused", "delayed"}).Draw(service.t, "fate")
}

func (service *unreliable) Get(_ context.Context, key string) (kvservice.KeyValue, error) {
	if fate := service.fate(); fate != "fine" {
		return kvservice.KeyValue{}, errNoAnswer
	}
	answer := service.store.Get(kvservice.RangeRequest{Key: []byte(key)})
	if len(answer.Kvs) == 0 {
		return kvservice.KeyValue{}, nil
	}
	return answer.Kvs[0], nil
}

func (service *unreliable) List(_ context.Context, prefix string) ([]kvservice.KeyValue, error) {
	if fate := service.fate(); fate != "fine" {
		return nil, errNoAnswer
	}
	end := []byte(prefix)
	end[len(end)-1]++
	return service.store.Get(kvservice.RangeRequest{Key: []byte(prefix), RangeEnd: end}).Kvs, nil
}

func (service *unreliable) Commit(_ context.Context, transaction kvservice.TxnRequest) (kvservice.TxnResponse, error) {
	switch service.fate() {
	case "lost answer":
		service.store.Commit(transaction)
		return kvservice.TxnResponse{}, errNoAnswer
	case "refused":
		return kvservice.TxnResponse{}, errNoAnswer
	case "delayed":
		service.delayed = append(service.delayed, transaction)
		return kvservice.TxnResponse{}, errNoAnswer
	default:
		return service.store.Commit(transaction), nil
	}
}

// commitDelayed commits the oldest delayed transaction.
func (service *unreliable) release() {
	if len(service.delayed) > 0 {
		service.store.Commit(service.delayed[0])
		service.delayed = service.delayed[1:]
	}
}

func declaration(tenants int) *configuration.Declaration {
	declared := &configuration.Declaration{Version: 1, Fleet: "test"}
	for index := range tenants {
		declared.Tenants = append(declared.Tenants, configuration.Tenant{Name: fmt.Sprintf("tenant-%03d", index), Class: "c", Weight: 1})
	}
	return declared
}

// TestChangeIsAcceptedIfAndOnlyIfInForce proposes competing changes through a
// service that fails on any call. Accepted changes must appear in the revision
// history, rejected ones must never appear, and Settle must resolve those with an
// unknown outcome.
func TestAcceptedExactlyWhenInForce(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		service := &unreliable{t: t, store: kvstub.NewStore()}
		store := New(service)
		accepted, refused, unknown := []string{}, []string{}, []string{}
		history := map[string]int64{}
		last := int64(0)
		observe := func() {
			calm := New(&unreliable{t: t, store: service.store, calm: true})
			version, err := calm.Read(context.Background(), nil)
			require.NoError(t, err)
			if version != nil {
				history[version.Manifest.ChangeID] = version.Revision
				last = version.Revision
			}
		}
		bases := []*Version{nil}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "late effect") {
				service.release()
				observe()
			}
			if base, err := store.Read(context.Background(), nil); err == nil && base != nil {
				bases = append(bases, base)
			}
			base := bases[rapid.IntRange(max(0, len(bases)-3), len(bases)-1).Draw(t, "base")]
			change := fmt.Sprintf("change-%d", step)
			inForce := last
			version, err := store.Propose(context.Background(), base, change, declaration(rapid.IntRange(0, 300).Draw(t, "tenants")))
			observe()
			switch {
			case err == nil:
				accepted = append(accepted, change)
				require.Equal(t, history[change], version.Revision)
				require.Equal(t, inForce, revisionOf(base), "a change must not overwrite a revision that its operator had not read")
			case failure.Is(err, failure.KindConflict) || failure.As(err).Outcome == failure.NotRun:
				refused = append(refused, change)
			default:
				unknown = append(unknown, change)
			}
		}
		service.calm = true
		for _, change := range unknown {
			ok, err := store.Settle(context.Background(), change)
			require.NoError(t, err)
			if ok {
				accepted = append(accepted, change)
			} else {
				refused = append(refused, change)
			}
		}
		for len(service.delayed) > 0 {
			service.release()
			observe()
		}
		for _, change := range accepted {
			require.Contains(t, history, change, "accepted changes must be in the history")
		}
		for _, change := range refused {
			require.NotContains(t, history, change, "rejected changes must never be in the history")
		}
	})
}

func TestSplitAndJoinAreInverse(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		declared := declaration(rapid.IntRange(0, 500).Draw(t, "tenants"))
		parts, err := Split(declared)
		require.NoError(t, err)
		joined, err := Join(parts)
		require.NoError(t, err)
		require.Len(t, joined.Tenants, len(declared.Tenants))
		again, err := Split(joined)
		require.NoError(t, err)
		require.Equal(t, parts, again)
	})
}

func TestChangeOfOneTenantMovesOnePart(t *testing.T) {
	declared := declaration(31_000)
	before, err := Split(declared)
	require.NoError(t, err)
	declared.Tenants[77].Weight = 2
	after, err := Split(declared)
	require.NoError(t, err)
	moved, bytes := 0, 0
	for index := range after {
		if after[index].Digest != before[index].Digest {
			moved++
			bytes += len(after[index].Data)
		}
	}
	require.Equal(t, 1, moved)
	t.Logf("%d parts, %d bytes rewritten", len(after), bytes)
}

func TestCompiledPartsServeTheSameBytes(t *testing.T) {
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
	again, err := Join(version.Parts)
	require.NoError(t, err)
	require.Equal(t, snapshot.Declaration.Tenants, again.Tenants)
}

func TestDamagedPartIsRefused(t *testing.T) {
	parts, err := Split(declaration(1))
	require.NoError(t, err)
	parts[1].Data = []byte(`[]`)
	_, err = Join(parts)
	require.ErrorContains(t, err, "digest")
}
