package lease

import (
	"bytes"
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	callTimeout = 500 * time.Millisecond
	// renewalsPerTTL is the number of renewals per TTL while they are answered, and
	// urgentRenewalsPerTTL that from the first unanswered one on: the leader then has several
	// attempts before its lease expires, even if many responses are lost. Renewals do not wait
	// for each other.
	renewals       = 5
	urgentRenewals = 10
	// The leader stops acting TTL/marginDivisor before its lease can expire, to allow for
	// calls in flight.
	marginPart = 5
	tick       = 50 * time.Millisecond
	// eligibilityInterval is the interval at which an ineligible node checks whether it has
	// become eligible, which changes only with the fleet.
	idleTick = 500 * time.Millisecond
	// retryPause follows a failed attempt to become leader.
	retryPause = 300 * time.Millisecond
	// lastLeaderHeadStart is how long other nodes wait for the last leader to campaign first.
	headStart = 300 * time.Millisecond
)

// attemptTimeouts holds the timeout of each attempt of a call.
var callPatience = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, callTimeout}

// Task is the work that only the leader does.
type Duty interface {
	// HasWork reports whether there is work to do.
	Wanted() bool
	// Step decides on the next piece of work. It is called every stepInterval while the
	// leader may act. The state is published before act is called.
	Step() (state []byte, act func(ctx context.Context, tenure *Tenure))
	// Idle reports whether a published state says that no work is in progress.
	Resting(state []byte) bool
	// OwnState reports whether this node published a state, also before a restart.
	Own(state []byte) bool
	// LeadershipLost is called when the leadership has ended.
	Lost()
}

// Recorder is notified of changes of the leadership. Its methods must not block.
type Recorder interface {
	// Acquired is called when this node becomes leader, with its fencing token and the time
	// until it may act.
	Acquired(fence int64, settled time.Duration)
	// Released is called when the leadership has ended.
	Released(fence int64, reason string)
}

// Elector makes this node the leader when there is work and no other leader.
type Keeper struct {
	Store    coordination.Store
	Duty     Duty
	Recorder Recorder
	// Name is this node's. Key is the leader's key, and StateKey that of its published state.
	Name     string
	Key      string
	KeyState string
	// TTL is that of the lease, and HandoverDelay the minimum time between the actions of two
	// leaders.
	Life     time.Duration
	Settling time.Duration
	// CampaignDelay returns a random wait that spreads the attempts of a whole fleet.
	Delay func() time.Duration
	// Eligible reports whether this node may become leader. Eligible nodes see all that the
	// task concerns.
	Eligible func() bool
	// Exists reports whether the last observation of the store showed a key.
	Exists func(key string) bool
	// FirstSeen returns when this node first observed a key at a position, or zero.
	FirstSeen func(key string, position coordination.Position) time.Time
	// Eras tracks the era of the store.
	Eras *coordination.Eras

	// lastLeaderEra is the era that a restore of the store began while this node was leader,
	// and lastActFrom when that leadership could begin to act.
	heldInto    int64
	heldSettled time.Time
}

// leaderState is a leadership with its lease.
type holding struct {
	tenure *Tenure
	lease  coordination.Lease
	// keyPosition is where the leader's key was written.
	key coordination.Position
	// renewalSentAt is when the last renewal was sent, and renewalConfirmedAt when the last
	// successful one was.
	renewed  time.Time
	answered time.Time
	// publishedState is the state that was published last.
	state []byte
}

// Run campaigns and leads until the context ends, and then resigns.
func (keeper *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !keeper.Eligible() {
			pause.For(ctx, idleTick)
			continue
		}
		if keeper.Exists(keeper.Key) || !keeper.Duty.Wanted() {
			pause.For(ctx, tick)
			continue
		}
		pause.For(ctx, keeper.Delay())
		held, taken := keeper.acquire(ctx)
		if taken {
			pause.For(ctx, keeper.Life)
			continue
		}
		if held == nil {
			pause.For(ctx, retryPause)
			continue
		}
		reason := keeper.hold(ctx, held)
		keeper.Duty.Lost()
		keeper.Recorder.Released(held.tenure.Fence, reason)
	}
}

// retryCall runs an idempotent call of the store until it succeeds. The first attempts have
// short timeouts, so that a lost response costs little, and the last one allows for a slow
// response.
func persist(ctx context.Context, call func(context.Context) error) error {
	var err error
	for _, patience := range callPatience {
		bounded, cancel := context.WithTimeout(ctx, patience)
		err = call(bounded)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// read returns the current entry of a key.
func (keeper *Keeper) read(ctx context.Context, key string) (entry coordination.Entry, found bool, err error) {
	err = persist(ctx, func(ctx context.Context) error {
		entry, found, err = keeper.Store.Read(ctx, key)
		return err
	})
	return entry, found, err
}

// acquire tries to become leader by creating the leader's key, and reports whether another
// node has it.
func (keeper *Keeper) acquire(ctx context.Context) (held *holding, taken bool) {
	if _, found, err := keeper.read(ctx, keeper.Key); err != nil || found {
		return nil, found
	}
	if !keeper.makeWay(ctx) {
		return nil, false
	}
	var granted coordination.Lease
	var asked time.Time
	err := persist(ctx, func(ctx context.Context) (err error) {
		asked = boottime.Now()
		granted, err = keeper.Store.Grant(ctx, keeper.Life)
		return err
	})
	if err != nil {
		return nil, false
	}
	key, created, err := keeper.create(ctx, granted.ID)
	if err != nil || !created {
		return nil, err == nil
	}
	state, found, err := keeper.read(ctx, keeper.KeyState)
	if err != nil {
		return nil, false
	}
	last := time.Time{}
	if found && keeper.Duty.Resting(state.Value) {
		last = keeper.FirstSeen(keeper.KeyState, state.Position())
	}
	// A restarted process of the same node counts as the same leader.
	another := found && !keeper.Duty.Own(state.Value)
	settled := keeper.settleEra(SettledAt(another, last, boottime.Now(), keeper.Settling), key)
	keeper.Recorder.Acquired(key.Token(), boottime.Until(settled))
	return &holding{
		tenure:   NewTenure(key.Token(), asked, granted.Life, granted.Life/marginPart, settled),
		lease:    granted,
		key:      key,
		renewed:  asked,
		answered: asked,
		state:    state.Value,
	}, false
}

// delayAfterRestore returns when a new leader may begin, given when it could if the store had
// lost nothing. A restored backup does not show a leader that was elected after it was made.
// That leader may act until it learns of the new era, possibly later than this node, or until
// its lease ends. A node that was that leader itself need not wait for this.
func (keeper *Keeper) settleEra(settled time.Time, key coordination.Position) time.Time {
	_, since := keeper.Eras.State()
	switch {
	case since.IsZero():
		return settled
	case keeper.heldInto == key.Era && keeper.heldSettled.After(settled):
		// This node had not begun to act: it still has to wait for the leader before it.
		return keeper.heldSettled
	case keeper.heldInto == key.Era:
		return settled
	}
	if after := since.Add(keeper.Life + keeper.Settling); after.After(settled) {
		return after
	}
	return settled
}

// createKey creates the leader's key if it does not exist. If the response was lost, reading
// the key shows whether it was created: its value is unique to this attempt.
func (keeper *Keeper) create(ctx context.Context, lease int64) (at coordination.Position, created bool, err error) {
	value := []byte(keeper.Name + " " + uuid.NewString())
	err = persist(ctx, func(ctx context.Context) error {
		at, created, err = keeper.Store.Create(ctx, keeper.Key, value, lease)
		return err
	})
	if err == nil && created {
		return at, true, nil
	}
	entry, found, err := keeper.read(ctx, keeper.Key)
	return entry.Position(), found && bytes.Equal(entry.Value, value), err
}

// yieldToLastLeader gives the last leader a head start, as it alone need not wait for the
// handover delay. It reports whether the state could be read.
func (keeper *Keeper) makeWay(ctx context.Context) bool {
	state, found, err := keeper.read(ctx, keeper.KeyState)
	if err != nil {
		return false
	}
	if found && !keeper.Duty.Own(state.Value) && !keeper.Duty.Resting(state.Value) {
		pause.For(ctx, headStart)
	}
	return true
}

// renewalResult is the result of one renewal.
type renewal struct {
	asked time.Time
	alive bool
	err   error
}

// lead performs the task until the leadership ends, and returns the reason. A lease that may
// have expired is not given up: the leader does not act until a renewal shows that it has not.
func (keeper *Keeper) hold(ctx context.Context, held *holding) string {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	renewed := make(chan renewal, urgentRenewals)
	for {
		select {
		case <-ticker.C:
		case answer := <-renewed:
			if answer.err == nil && !answer.alive {
				return "the lease no longer exists"
			}
			if answer.err == nil {
				held.tenure.Renewed(answer.asked)
				held.answered = answer.asked
			}
		case <-ctx.Done():
			keeper.handBack(held)
			return "this node is shutting down"
		}
		if era, _ := keeper.Eras.State(); era != held.key.Era {
			// In the new era the key and the lease are gone, or belong to another node.
			keeper.heldInto, keeper.heldSettled = era, held.tenure.settled
			return "the store was restored from a backup"
		}
		if held.tenure.Superseded() {
			keeper.handBack(held)
			return "another node has a higher fencing token"
		}
		now := boottime.Now()
		if now.Sub(held.renewed) >= held.renewInterval() {
			held.renewed = now
			go func() { renewed <- keeper.renew(ctx, held.lease.ID, now) }()
		}
		if held.tenure.MayAct(now) {
			keeper.work(ctx, held)
		}
	}
}

// renewInterval returns the time between two renewals.
func (held *holding) renewInterval() time.Duration {
	if held.answered.Before(held.renewed) {
		return held.lease.Life / urgentRenewals
	}
	return held.lease.Life / renewals
}

func (keeper *Keeper) renew(ctx context.Context, lease int64, asked time.Time) renewal {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := keeper.Store.Renew(ctx, lease)
	return renewal{asked: asked, alive: alive, err: err}
}

// step performs one step of the task. The state is published before acting: if this node
// fails, the next leader knows that it must wait.
func (keeper *Keeper) work(ctx context.Context, held *holding) {
	state, act := keeper.Duty.Step()
	if !bytes.Equal(state, held.state) {
		if !keeper.publish(ctx, held, state) {
			return
		}
		held.state = state
	}
	act(ctx, held.tenure)
}

// publishState writes the task's state, guarded by the leader's key. A rejected write shows
// that the key is no longer this leader's.
func (keeper *Keeper) publish(ctx context.Context, held *holding, state []byte) bool {
	written := false
	err := persist(ctx, func(ctx context.Context) (err error) {
		written, err = keeper.Store.WriteGuarded(ctx, keeper.KeyState, state, keeper.Key, held.key)
		return err
	})
	if err == nil && !written {
		held.tenure.Supersede()
	}
	return err == nil && written
}

// resign revokes the lease, so that the next leader need not wait for it to expire.
func (keeper *Keeper) handBack(held *holding) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = keeper.Store.End(ctx, held.lease.ID)
}
