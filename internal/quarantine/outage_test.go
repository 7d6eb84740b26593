package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// contact is the time after an outage of the store within which what it prevented is done.
const contact = 3 * time.Second

var errOutage = errors.New("outage")

// outageStore fails while it is down, silently or at once.
type outageStore struct {
	down, silent bool
	created      []string
	removed      []string
}

func (s *outageStore) begin(ctx context.Context) error {
	if !s.down {
		return nil
	}
	if s.silent {
		<-ctx.Done()
	}
	return errOutage
}

func (s *outageStore) Grant(ctx context.Context, _ time.Duration) (coordination.Lease, error) {
	return coordination.Lease{ID: 1}, s.begin(ctx)
}

func (s *outageStore) Create(ctx context.Context, key string, _ []byte, _ int64) (coordination.Position, bool, error) {
	if err := s.begin(ctx); err != nil {
		return coordination.Position{}, false, err
	}
	s.created = append(s.created, key)
	return coordination.Position{}, true, nil
}

func (s *outageStore) Remove(ctx context.Context, key string) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.removed = append(s.removed, key)
	return nil
}

type nopPersisterRecorder struct{}

func (nopPersisterRecorder) QuarantinePersisted(Fingerprint, bool, bool, error) {}

// Guards against the trial of a mended part being put off by an outage for longer than the outage lasts.
func TestTrialIsClaimedWhenOutageEnds(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &outageStore{down: true, silent: silent}
			trials := &Trials{Store: store, Prefix: "trials/", Now: time.Now}
			for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
				claimed, _ := trials.Claim(t.Context(), 7)
				require.False(t, claimed)
			}
			store.down = false
			for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
				if claimed, err := trials.Claim(t.Context(), 7); claimed {
					require.NoError(t, err)
					break
				}
				require.Less(t, time.Since(began), contact)
			}
			claimed, _ := trials.Claim(t.Context(), 7)
			require.False(t, claimed, "one request is tried")
		})
	}
}

// Guards against a quarantine that is not stored, or not removed, once the store answers again: a fleet
// whose nodes are all replaced then would forget it, or keep it.
func TestQuarantineIsStoredWhenOutageEnds(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &outageStore{down: true, silent: silent}
			ledger := NewLedger()
			persister := &Persister{
				Store: store, Ledger: ledger, Recorder: nopPersisterRecorder{}, Prefix: "q/", Unconfirmed: alwaysConfirmed,
				Eligible: func() bool { return true }, WriteDelay: func() time.Duration { return 0 }, Now: time.Now,
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			for server := range uint64(crashThreshold) {
				crash(ledger, server, time.Now(), 7)
			}
			go persister.Run(ctx)
			time.Sleep(5 * time.Second)
			store.down = false
			time.Sleep(contact)
			require.Contains(t, store.created, persister.key(7))
			stop()
			synctest.Wait()
		})
	}
}
