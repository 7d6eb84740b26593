package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lab/storestub"
	"github.com/cloverrail/cloverrail/internal/property"
)

// The shared size is the largest number of nodes within the hold, and no larger one.
func TestSharedSizeIsLargestOfLate(t *testing.T) {
	type observation struct {
		nodes int
		at    time.Time
	}
	property.Check(t, func(t *rapid.T) {
		size, now := &SharedSize{}, time.Unix(1000, 0)
		require.Zero(t, size.Nodes(now))
		observed := []observation{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "observes") || len(observed) == 0 {
				o := observation{rapid.IntRange(1, 10).Draw(t, "nodes"), now}
				observed = append(observed, o)
				size.Observe(o.nodes, now)
			}
			want := 0
			for i, o := range observed {
				// A number is true until the next one is observed.
				if i == len(observed)-1 || observed[i+1].at.After(now.Add(-sizeHold)) {
					want = max(want, o.nodes)
				}
			}
			require.Equal(t, want, size.Nodes(now), "%v at %s", observed, now)
		}
	})
}

// Guards against bounds of the fleet that are divided by too few nodes after the store has lost the registrations:
// nodes whose leases have ended live on, and notice it at their next renewal.
func TestSharedSizeHoldsWhileRegistrationsLapse(t *testing.T) {
	for _, nodes := range []int{4, 340} {
		for _, outageLength := range []time.Duration{0, time.Second, 5 * time.Second, 2 * registrationTTL} {
			for _, silent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d nodes, outage of %s, silent %t", nodes, outageLength, silent), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						store := storestub.New(time.Now, nil)
						shared := &sharedOutage{silent: silent, perSecond: map[int64]int{}}
						ctx, stop := context.WithCancel(context.Background())
						defer stop()
						for n := range nodes {
							outage := &coordination.Outage{}
							r := &Registry{Store: &outageStore{store, outage, shared}, Prefix: "nodes/", Name: fmt.Sprint("n", n), Incarnation: "1", Address: "a", Zone: "z", Outage: outage, OnResize: func(int) {}}
							go r.Run(ctx)
						}
						time.Sleep(registrationTTL)
						size := &SharedSize{}
						size.Observe(len(store.Entries("nodes/")), time.Now())
						shared.set(outageLength > 0)
						time.Sleep(outageLength)
						store.ExpireLeases()
						shared.set(false)
						const readInterval = 100 * time.Millisecond
						for range 3 * sizeHold / readInterval {
							require.Equal(t, nodes, size.Observe(len(store.Entries("nodes/")), time.Now()))
							time.Sleep(readInterval)
						}
						require.Len(t, store.Entries("nodes/"), nodes)
					})
				})
			}
		}
	}
}
