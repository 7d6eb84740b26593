package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lab/storestub"
)

// contact is the time after an outage within which a node must have registered.
const contact = 3 * time.Second

var errOutage = errors.New("outage")

// outageStore is a store that fails while an outage lasts, and counts the calls in each second. It
// reports the result of each call as the client of a real store does.
type outageStore struct {
	*storestub.Store
	outage *coordination.Outage
	shared *sharedOutage
}

// sharedOutage is the state of the store of a fleet.
type sharedOutage struct {
	mutex sync.Mutex
	down  bool
	// silent calls wait until their contexts end.
	silent    bool
	perSecond map[int64]int
}

func (o *sharedOutage) set(down bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.down = down
}

// busiestSecond returns the largest number of calls in one second.
func (o *sharedOutage) busiestSecond() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	busiest := 0
	for _, calls := range o.perSecond {
		busiest = max(busiest, calls)
	}
	return busiest
}

// begin counts a call, and returns its error if it fails.
func (s *outageStore) begin(ctx context.Context) error {
	s.shared.mutex.Lock()
	s.shared.perSecond[time.Now().Unix()]++
	down, silent := s.shared.down, s.shared.silent
	s.shared.mutex.Unlock()
	if !down {
		s.outage.ObserveAnswer(time.Now())
		return nil
	}
	if silent {
		<-ctx.Done()
	}
	s.outage.ObserveFailure(time.Now())
	return errOutage
}

func (s *outageStore) Grant(ctx context.Context, ttl time.Duration) (coordination.Lease, error) {
	if err := s.begin(ctx); err != nil {
		return coordination.Lease{}, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *outageStore) Renew(ctx context.Context, lease int64) (bool, error) {
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	return s.Store.Renew(ctx, lease)
}

func (s *outageStore) Write(ctx context.Context, key string, value []byte, lease int64) (bool, error) {
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	return s.Store.Write(ctx, key, value, lease)
}

// Guards against nodes that stay unregistered after an outage of the store: ranks and shares of budgets
// are wrong meanwhile. All register within the contact time, whether they started in the outage or lost
// their registrations in it, and make fewer calls than the store takes.
func TestFleetRegistersWhenOutageEnds(t *testing.T) {
	for _, nodes := range []int{7, 340} {
		// The rate of writes of the platform's stores at these sizes.
		maxCalls := map[int]int{7: 400, 340: 3200}[nodes]
		for _, silent := range []bool{false, true} {
			for _, length := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 2 * registrationTTL} {
				for _, running := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d nodes, silent %t, %s, running %t", nodes, silent, length, running), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							store := storestub.New(time.Now, nil)
							shared := &sharedOutage{silent: silent, perSecond: map[int64]int{}}
							ctx, stop := context.WithCancel(context.Background())
							defer stop()
							shared.set(!running)
							for n := range nodes {
								outage := &coordination.Outage{}
								r := &Registry{Store: &outageStore{store, outage, shared}, Prefix: "nodes/", Name: fmt.Sprint("n", n), Incarnation: "1", Address: "a", Zone: "z", Outage: outage, OnResize: func(int) {}}
								go r.Run(ctx)
							}
							if running {
								time.Sleep(registrationTTL)
								shared.set(true)
							}
							time.Sleep(length)
							shared.set(false)
							time.Sleep(contact)
							require.Len(t, store.Entries("nodes/"), nodes)
							require.LessOrEqual(t, shared.busiestSecond(), maxCalls)
						})
					})
				}
			}
		}
	}
}

// Guards against a published view that stays outdated after an outage: starting nodes would poll nodes that
// are gone.
func TestViewIsPublishedWhenOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storestub.New(time.Now, nil)
		outage := &coordination.Outage{}
		down, published := true, false
		r := &Registry{Store: store, Prefix: "nodes/", Name: "n", Incarnation: "1", Address: "a", Zone: "z", Outage: outage, OnResize: func(int) {}}
		r.PublishView = func(context.Context, []byte) error {
			if down {
				return errOutage
			}
			published = true
			return nil
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go r.Run(ctx)
		time.Sleep(time.Second)
		r.ObserveNodes(store.Entries("nodes/"), time.Now())
		time.Sleep(maxBootstrapWait)
		r.ObserveNodes(store.Entries("nodes/"), time.Now())
		time.Sleep(2 * registrationTTL)
		down = false
		time.Sleep(contact)
		require.True(t, published)
	})
}

// Guards against a registration that ends although its node renews it: a write under a former lease was done
// late, after the one under the present lease.
func TestLateWriteOfRegistrationDoesNotEndIt(t *testing.T) {
	for _, fault := range []storestub.Fault{storestub.FaultLate, storestub.FaultLostResponse, storestub.FaultUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			writes := 0
			store := storestub.New(time.Now, func(call string) storestub.Fault {
				if call != "write" {
					return storestub.FaultNone
				}
				if writes++; writes <= 2 {
					return fault
				}
				return storestub.FaultNone
			})
			r := &Registry{Store: store, Prefix: "nodes/", Name: "n", Incarnation: "1", Address: "a", Zone: "z", OnResize: func(int) {}}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go r.Run(ctx)
			time.Sleep(contact)
			for range 5 {
				require.Len(t, store.Entries("nodes/"), 1)
				time.Sleep(registrationTTL)
			}
		})
	}
}
