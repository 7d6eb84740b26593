package quarantine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// passStore is a store with leases, in the time of the test.
type passStore struct {
	mutex sync.Mutex
	err   error
	calls int
	next  int64
	ends  map[int64]time.Time
	keys  map[string]int64
}

func newPassStore() *passStore {
	return &passStore{ends: map[int64]time.Time{}, keys: map[string]int64{}}
}

func (s *passStore) Grant(_ context.Context, life time.Duration) (coordination.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	s.next++
	s.ends[s.next] = time.Now().Add(life)
	return coordination.Lease{ID: s.next, TTL: life}, s.err
}

func (s *passStore) Create(_ context.Context, key string, _ []byte, lease int64) (coordination.Position, bool, error) {
	time.Sleep(5 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if holder, found := s.keys[key]; s.err != nil || found && time.Now().Before(s.ends[holder]) {
		return coordination.Position{}, false, s.err
	}
	s.keys[key] = lease
	return coordination.Position{}, true, nil
}

func (s *passStore) Revoke(_ context.Context, lease int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	delete(s.ends, lease)
	return s.err
}

// probationFleet is a number of nodes before one store.
func probationFleet(store *passStore, nodes int) []*Probation {
	fleet := make([]*Probation, nodes)
	for i := range fleet {
		fleet[i] = &Probation{Store: store, Prefix: "trials/", Now: time.Now, Nodes: func() int { return nodes }}
	}
	return fleet
}

// Guards against requests with a part on probation that reach servers at the same time: however many nodes have some, one of
// the fleet is sent at a time, and they call the store no more often the more nodes there are.
func TestOneRequestOnProbationIsSentInTheFleet(t *testing.T) {
	for _, nodes := range []int{1, 8, 300} {
		synctest.Test(t, func(t *testing.T) {
			const each, duration = 300 * time.Millisecond, 20 * time.Second
			store := newPassStore()
			fleet, underWay, sent := probationFleet(store, nodes), 0, 0
			for begun := time.Now(); time.Since(begun) < duration; time.Sleep(50 * time.Millisecond) {
				for _, node := range fleet {
					pass := node.Take(badPart)
					if pass == nil {
						continue
					}
					require.Nil(t, node.Take(badPart), "a second request of the node")
					underWay++
					sent++
					require.Equal(t, 1, underWay)
					time.AfterFunc(each, func() {
						underWay--
						pass.Return()
						pass.Return()
					})
				}
			}
			require.Greater(t, sent, 10, "%d nodes", nodes)
			require.Less(t, store.calls, 100*int(duration/time.Second), "%d nodes", nodes)
			time.Sleep(time.Minute)
		})
	}
}

// A request under which a server may have crashed keeps its pass until all nodes know of that, and one of a node that is
// gone ends with its lease.
func TestPassIsKeptAfterCrashAndEndsWithItsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := probationFleet(newPassStore(), 2)
		take := func(node int) *Pass {
			require.Nil(t, fleet[node].Take(badPart), "the store has not answered")
			time.Sleep(100 * time.Millisecond)
			return fleet[node].Take(badPart)
		}
		pass := take(0)
		require.Equal(t, badPart, pass.Part())
		require.Zero(t, (*Pass)(nil).Part())
		pass.ReturnAfter(PropagationTime)
		time.Sleep(PropagationTime - 200*time.Millisecond)
		require.Nil(t, take(1))
		require.False(t, fleet[1].Available(badPart), "it has just asked")
		time.Sleep(300 * time.Millisecond)
		require.True(t, fleet[1].Available(badPart))
		require.NotNil(t, take(1))
		time.Sleep(passLease)
		require.NotNil(t, take(0), "the other node never returned it")
		time.Sleep(time.Minute)
	})
}

// A pass that was claimed for a request that is gone is left to other nodes.
func TestUnusedPassIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := probationFleet(newPassStore(), 2)
		fleet[0].Take(badPart)
		time.Sleep(100 * time.Millisecond)
		fleet[1].Take(badPart)
		time.Sleep(100 * time.Millisecond)
		require.Nil(t, fleet[1].Take(badPart))
		time.Sleep(unusedPassTime)
		fleet[1].Take(badPart)
		time.Sleep(100 * time.Millisecond)
		require.NotNil(t, fleet[1].Take(badPart))
		time.Sleep(time.Minute)
	})
}

// Without the store, each node sends one request at a time, so that sound parts come off probation.
func TestNodeSendsOneRequestOnProbationWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPassStore()
		store.err = errors.New("the store is down")
		begun := time.Now()
		for _, node := range probationFleet(store, 2) {
			var pass *Pass
			for asked := time.Now(); pass == nil; pass = node.Take(badPart) {
				require.Less(t, time.Since(asked), storelessDelay+time.Second)
				time.Sleep(50 * time.Millisecond)
			}
			require.GreaterOrEqual(t, time.Since(begun), storelessDelay, "the store may be back in a moment")
			require.Nil(t, node.Take(badPart))
			pass.Return()
			time.Sleep(maxClaimWait)
			require.Nil(t, node.Take(badPart))
			time.Sleep(maxClaimWait)
			require.NotNil(t, node.Take(badPart))
		}
		time.Sleep(time.Minute)
	})
}

// crashAtOnce records crashes of a number of servers within a few milliseconds, each under a request with the parts that was
// sent 40 ms before.
func crashAtOnce(l *Ledger, servers uint64, at time.Time, parts ...Fingerprint) {
	for i := range servers {
		crashedAt := at.Add(time.Duration(i) * time.Millisecond)
		crashAll(l, i, crashedAt, prompt(Fingerprint(i+1), parts...).WithSentAt(crashedAt.Add(-40*time.Millisecond)))
	}
}

// A part under which all servers crashed at one moment is on probation until an answer, or a response that goes on.
func TestPartIsOnProbationUntilSomethingShowsThatItIsSound(t *testing.T) {
	now := begin.Add(time.Second)
	for name, release := range map[string]func(l *Ledger){
		"answered":   func(l *Ledger) { l.Served(prompt(60, systemPart, otherPart), begin.Add(time.Second/2), now) },
		"progressed": func(l *Ledger) { l.Progressed(prompt(60, systemPart, otherPart), begin.Add(time.Second/2)) },
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			crashAtOnce(l, maxPartCrashes-1, begin, systemPart)
			require.Zero(t, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now).OnProbation)
			crashAtOnce(l, maxPartCrashes, begin, systemPart)
			v := l.Evaluate(prompt(50, systemPart, otherPart), func(uint64, time.Time) bool { return true }, now)
			require.False(t, v.Quarantined)
			require.Equal(t, systemPart, v.OnProbation, "also while the crashes are not confirmed")
			require.Zero(t, l.Evaluate(prompt(50, otherPart), alwaysConfirmed, now).OnProbation)
			release(l)
			require.Zero(t, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now).OnProbation)
			crashAtOnce(l, 20, now, systemPart)
			require.Equal(t, systemPart, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now.Add(time.Second)).OnProbation, "crashes since")
		})
	}
}

// Guards against sound parts that are rejected because they met a crashing one on probation again and again, at the few servers
// that are back: parts that crashed a server together share one pass.
func TestPartsThatCrashedTogetherOnProbationShareOnePass(t *testing.T) {
	l := NewLedger()
	crashAtOnce(l, 9, begin, badPart, systemPart)
	now := begin.Add(4 * time.Second)
	for _, f := range []Fingerprint{badPart, systemPart} {
		require.Equal(t, f, l.Evaluate(prompt(50, f), alwaysConfirmed, now).OnProbation)
	}
	for _, s := range []Suspects{prompt(70, badPart, otherPart), prompt(71, systemPart)} {
		crashAll(l, 100, now, s.WithSentAt(now.Add(-40*time.Millisecond)))
	}
	now = now.Add(2 * time.Second)
	for _, f := range []Fingerprint{badPart, systemPart} {
		require.Equal(t, min(badPart, systemPart), l.Evaluate(prompt(50, f), alwaysConfirmed, now).OnProbation)
	}
	l.Served(prompt(72, systemPart), now, now)
	require.Zero(t, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now).OnProbation)
	require.True(t, l.Evaluate(prompt(50, badPart), alwaysConfirmed, now).Quarantined, "only it explains the crash now")
}

// Guards against a sound part that is rejected because requests with a crashing one contain it, and against trials without end
// where crashes are refuted again and again.
func TestCompanionOnProbationIsNotBlamed(t *testing.T) {
	l := NewLedger()
	crashAtOnce(l, 9, begin, badPart, systemPart)
	now := begin
	for i := range uint64(4) {
		now = now.Add(4 * time.Second)
		crashAll(l, 100+i, now, prompt(Fingerprint(70+i), systemPart, badPart).WithSentAt(now.Add(-40*time.Millisecond)))
		require.Equal(t, int(i)+1, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now.Add(time.Second)).Trials)
	}
	require.True(t, l.Evaluate(prompt(51, systemPart, badPart), alwaysConfirmed, now.Add(time.Second)).Quarantined)
	require.False(t, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now.Add(time.Second)).Quarantined)
	for trials, hold := range []time.Duration{PropagationTime, 2 * PropagationTime, maxPassHold, maxPassHold} {
		require.Equal(t, hold, CrashHold(trials))
	}
}

// The crash under a request that was sent while the part was on probation decides, however close the others were, and not
// against a sound part that another one on probation explains.
func TestCrashOnProbationDecides(t *testing.T) {
	l := NewLedger()
	crashAtOnce(l, 9, begin, badPart, systemPart)
	now := begin.Add(4 * time.Second)
	require.Equal(t, systemPart, l.Evaluate(prompt(50, systemPart), alwaysConfirmed, now).OnProbation)
	bad, sound := prompt(70, badPart, otherPart), prompt(71, systemPart)
	crashAll(l, 100, now, bad.WithSentAt(now.Add(-40*time.Millisecond)), sound.WithSentAt(now.Add(-40*time.Millisecond)))
	later := now.Add(2 * time.Second)
	require.False(t, l.Evaluate(prompt(51, systemPart), alwaysConfirmed, later).Quarantined, "both crashed as often")
	crashAll(l, 101, later, prompt(72, badPart, otherPart).WithSentAt(later.Add(-40*time.Millisecond)))
	later = later.Add(2 * time.Second)
	v := l.Evaluate(prompt(52, badPart), alwaysConfirmed, later)
	require.True(t, v.Quarantined)
	require.False(t, v.Ambiguous)
	require.Zero(t, v.OnProbation)
	v = l.Evaluate(prompt(51, systemPart), alwaysConfirmed, later)
	require.False(t, v.Quarantined, "the other part explains each crash")
	require.NotZero(t, v.OnProbation)
}
