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
	// urgentRenewalsPerTTL the number from the first unanswered one on: the leader then has
	// several attempts before its lease expires, even if many responses are lost. Renewals do
	// not wait for each other.
	renewalsPerTTL       = 5
	urgentRenewalsPerTTL = 10
	// The leader stops acting TTL/marginDivisor before its lease can expire, to allow for
	// calls in flight.
	marginDivisor = 5
	stepInterval  = 50 * time.Millisecond
	// eligibilityInterval is the interval at which an ineligible node checks whether it has
	// become eligible. Eligibility changes only when the fleet does.
	eligibilityInterval = 500 * time.Millisecond
	// retryDelay is the wait after a failed attempt to become leader.
	retryDelay = 300 * time.Millisecond
	// lastLeaderHeadStart is how long other nodes wait for the last leader to campaign first.
	lastLeaderHeadStart = 300 * time.Millisecond
)

// attemptTimeouts holds the timeout of each attempt of a call.
var attemptTimeouts = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, callTimeout}

// Task is the work that only the leader does.
type Task interface {
	// HasWork reports whether there is work to do.
	HasWork() bool
	// Step decides on the next piece of work. It is called every stepInterval while the
	// leader may act. The state is published before act is called.
	Step() (state []byte, act func(ctx context.Context, tenure *Leadership))
	// Idle reports whether a published state says that no work is in progress.
	Idle(state []byte) bool
	// OwnState reports whether a state was published by this node, before or after a restart.
	OwnState(state []byte) bool
	// BeganAtZero reports whether a published state says that the first era of the store was 0.
	BeganAtZero(state []byte) bool
	// LeadershipLost is called when the leadership has ended.
	LeadershipLost()
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
type Elector struct {
	Store    coordination.Store
	Task     Task
	Recorder Recorder
	// Name is this node's name. Key is the leader's key, and StateKey the key of its
	// published state.
	Name     string
	Key      string
	StateKey string
	// TTL is the lease's TTL, and HandoverDelay the minimum time between the actions of two
	// leaders.
	TTL           time.Duration
	HandoverDelay time.Duration
	// CampaignDelay returns a random wait that spreads the attempts of a whole fleet.
	CampaignDelay func() time.Duration
	// Eligible reports whether this node may become leader. Eligible nodes observe everything
	// that the task depends on.
	Eligible func() bool
	// Unable, if set, returns why this node can no longer perform the task, or "". The leader then
	// resigns.
	Unable func() string
	// Exists reports whether the last observation of the store showed a key.
	Exists func(key string) bool
	// FirstSeen returns when this node first observed a key at a position, or zero.
	FirstSeen func(key string, position coordination.Position) time.Time
	// Eras tracks the era of the store.
	Eras *coordination.EraTracker

	// lastLeaderEra is the era that began when the store was restored while this node was
	// leader, and lastActFrom the time from which that leadership could act. Both are unset if
	// this never happened.
	lastLeaderEra coordination.Era
	lastActFrom   time.Time
}

// leaderState is a leadership with its lease.
type leaderState struct {
	leadership *Leadership
	lease      coordination.Lease
	// keyPosition is where the leader's key was written.
	keyPosition coordination.Position
	// renewalSentAt is when the last renewal was sent, and renewalConfirmedAt when the last one
	// that succeeded was sent.
	renewalSentAt      time.Time
	renewalConfirmedAt time.Time
	// publishedState is the state that was published last, and statePosition where it was written.
	publishedState []byte
	statePosition  coordination.Position
	// stateUncertain is set while a write of the state has no known result. It may still be done, and must
	// be superseded before this leader acts.
	stateUncertain bool
}

// Run campaigns and leads until the context ends, and then resigns.
func (elector *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !elector.Eligible() {
			pause.For(ctx, eligibilityInterval)
			continue
		}
		if elector.Exists(elector.Key) || !elector.Task.HasWork() {
			pause.For(ctx, stepInterval)
			continue
		}
		pause.For(ctx, elector.CampaignDelay())
		leader, taken := elector.acquire(ctx)
		if taken {
			pause.For(ctx, elector.TTL)
			continue
		}
		if leader == nil {
			pause.For(ctx, retryDelay)
			continue
		}
		reason := elector.lead(ctx, leader)
		elector.Task.LeadershipLost()
		elector.Recorder.Released(leader.leadership.FencingToken, reason)
	}
}

// retryCall runs an idempotent call of the store until it succeeds. The first attempts have
// short timeouts, so that a lost response costs little, and the last one allows for a slow
// response.
func retryCall(ctx context.Context, call func(context.Context) error) error {
	var err error
	for _, timeout := range attemptTimeouts {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err = call(attempt)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// read returns the current entry of a key.
func (elector *Elector) read(ctx context.Context, key string) (entry coordination.Entry, found bool, err error) {
	err = retryCall(ctx, func(ctx context.Context) error {
		entry, found, err = elector.Store.Read(ctx, key)
		return err
	})
	return entry, found, err
}

// acquire tries to become leader by creating the leader's key, and reports whether another
// node has it.
func (elector *Elector) acquire(ctx context.Context) (leader *leaderState, taken bool) {
	if _, found, err := elector.read(ctx, elector.Key); err != nil || found {
		return nil, found
	}
	if !elector.yieldToLastLeader(ctx) {
		return nil, false
	}
	var granted coordination.Lease
	var sentAt time.Time
	err := retryCall(ctx, func(ctx context.Context) (err error) {
		sentAt = boottime.Now()
		granted, err = elector.Store.Grant(ctx, elector.TTL)
		return err
	})
	if err != nil {
		return nil, false
	}
	position, created, err := elector.createKey(ctx, granted.ID)
	if err != nil || !created {
		return nil, err == nil
	}
	state, found, err := elector.read(ctx, elector.StateKey)
	if err != nil {
		return nil, false
	}
	if found && elector.Task.BeganAtZero(state.Value) {
		elector.Eras.ObserveBeganAtZero()
	}
	token := elector.Eras.Token(position)
	lastIdle := time.Time{}
	if found && elector.Task.Idle(state.Value) {
		lastIdle = elector.FirstSeen(elector.StateKey, state.Position())
	}
	// A restarted process of the same node counts as the same leader.
	heldByOther := found && !elector.Task.OwnState(state.Value)
	actFrom := elector.delayAfterRestore(EarliestAction(heldByOther, lastIdle, boottime.Now(), elector.HandoverDelay), position)
	elector.Recorder.Acquired(token, boottime.Until(actFrom))
	return &leaderState{
		leadership:         NewLeadership(token, sentAt, granted.TTL, granted.TTL/marginDivisor, actFrom),
		lease:              granted,
		keyPosition:        position,
		renewalSentAt:      sentAt,
		renewalConfirmedAt: sentAt,
		publishedState:     state.Value,
		statePosition:      coordination.Position{Era: position.Era, Revision: state.Revision},
	}, false
}

// delayAfterRestore returns when a new leader may begin to act, given when it could if the
// store had lost nothing. A restored backup does not show a leader that was elected after the
// backup was made. That leader may act until it learns of the new era, possibly later than
// this node, or until its lease ends. A node that was that leader itself need not wait for it.
func (elector *Elector) delayAfterRestore(actFrom time.Time, position coordination.Position) time.Time {
	_, restoredAt := elector.Eras.State()
	switch {
	case restoredAt.IsZero():
		return actFrom
	case elector.lastLeaderEra == position.Era && elector.lastActFrom.After(actFrom):
		// This node was still waiting for the leader before it, and must wait on.
		return elector.lastActFrom
	case elector.lastLeaderEra == position.Era:
		return actFrom
	}
	if after := restoredAt.Add(elector.TTL + elector.HandoverDelay); after.After(actFrom) {
		return after
	}
	return actFrom
}

// createKey creates the leader's key if it does not exist. If the response was lost, reading
// the key shows whether it was created: its value is unique to this attempt.
func (elector *Elector) createKey(ctx context.Context, lease int64) (at coordination.Position, created bool, err error) {
	value := []byte(elector.Name + " " + uuid.NewString())
	err = retryCall(ctx, func(ctx context.Context) error {
		at, created, err = elector.Store.Create(ctx, elector.Key, value, lease)
		return err
	})
	if err == nil && created {
		return at, true, nil
	}
	entry, found, err := elector.read(ctx, elector.Key)
	return entry.Position(), found && bytes.Equal(entry.Value, value), err
}

// yieldToLastLeader gives the last leader a head start, as it alone need not wait for the
// handover delay. It reports whether the state could be read.
func (elector *Elector) yieldToLastLeader(ctx context.Context) bool {
	state, found, err := elector.read(ctx, elector.StateKey)
	if err != nil {
		return false
	}
	if found && !elector.Task.OwnState(state.Value) && !elector.Task.Idle(state.Value) {
		pause.For(ctx, lastLeaderHeadStart)
	}
	return true
}

// renewalResult is the result of one renewal.
type renewalResult struct {
	sentAt time.Time
	alive  bool
	err    error
}

// lead performs the task until the leadership ends, and returns the reason. A lease that may
// have expired is not given up: the leader does not act until a renewal shows that it has not.
func (elector *Elector) lead(ctx context.Context, leader *leaderState) string {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	results := make(chan renewalResult, urgentRenewalsPerTTL)
	for {
		select {
		case <-ticker.C:
		case result := <-results:
			if result.err == nil && !result.alive {
				return "the lease no longer exists"
			}
			if result.err == nil {
				leader.leadership.Renewed(result.sentAt)
				leader.renewalConfirmedAt = result.sentAt
			}
		case <-ctx.Done():
			elector.resign(leader)
			return "this node is shutting down"
		}
		if era, _ := elector.Eras.State(); era != leader.keyPosition.Era {
			// In the new era the key and the lease are gone, or belong to another node.
			elector.lastLeaderEra, elector.lastActFrom = era, leader.leadership.actFrom
			return "the store was restored from a backup"
		}
		if elector.Eras.Token(leader.keyPosition) != leader.leadership.FencingToken {
			elector.resign(leader)
			return "the store began in era 0, in which tokens may have been higher"
		}
		if leader.leadership.Superseded() {
			elector.resign(leader)
			return "another node has a higher fencing token"
		}
		if elector.Unable != nil {
			if reason := elector.Unable(); reason != "" {
				elector.resign(leader)
				return reason
			}
		}
		now := boottime.Now()
		if now.Sub(leader.renewalSentAt) >= leader.renewInterval() {
			leader.renewalSentAt = now
			go func() { results <- elector.renew(ctx, leader.lease.ID, now) }()
		}
		if leader.leadership.MayAct(now) {
			elector.step(ctx, leader)
		}
	}
}

// renewInterval returns the time between two renewals.
func (leader *leaderState) renewInterval() time.Duration {
	if leader.renewalConfirmedAt.Before(leader.renewalSentAt) {
		return leader.lease.TTL / urgentRenewalsPerTTL
	}
	return leader.lease.TTL / renewalsPerTTL
}

func (elector *Elector) renew(ctx context.Context, lease int64, sentAt time.Time) renewalResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	alive, err := elector.Store.Renew(ctx, lease)
	return renewalResult{sentAt: sentAt, alive: alive, err: err}
}

// step performs one step of the task. The state is published before acting: if this node
// fails, the next leader knows that it must wait.
func (elector *Elector) step(ctx context.Context, leader *leaderState) {
	state, act := elector.Task.Step()
	if leader.stateUncertain || !bytes.Equal(state, leader.publishedState) {
		if !elector.publishState(ctx, leader, state) {
			return
		}
		leader.publishedState = state
	}
	act(ctx, leader.leadership)
}

// publishState writes the task's state, if it is still where this leader has read or written it, guarded by
// the leader's key. Otherwise an earlier write of this leader was done without an answer, or the key is no
// longer its own.
func (elector *Elector) publishState(ctx context.Context, leader *leaderState, state []byte) bool {
	var at coordination.Position
	written := false
	err := retryCall(ctx, func(ctx context.Context) (err error) {
		at, written, err = elector.Store.WriteGuarded(ctx, elector.StateKey, state, leader.statePosition, elector.Key, leader.keyPosition)
		return err
	})
	if err == nil && written {
		leader.statePosition, leader.stateUncertain = at, false
		return true
	}
	leader.stateUncertain = true
	if err == nil {
		elector.locateState(ctx, leader)
	}
	return false
}

// locateState reads where the state is after a write was rejected, and ends the leadership if its key is
// another's.
func (elector *Elector) locateState(ctx context.Context, leader *leaderState) {
	key, found, err := elector.read(ctx, elector.Key)
	if err != nil {
		return
	}
	if !found || key.Position() != leader.keyPosition {
		leader.leadership.Supersede()
		return
	}
	if state, _, err := elector.read(ctx, elector.StateKey); err == nil {
		leader.statePosition = coordination.Position{Era: leader.keyPosition.Era, Revision: state.Revision}
	}
}

// resign revokes the lease, so that the next leader need not wait for it to expire.
func (elector *Elector) resign(leader *leaderState) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = elector.Store.Revoke(ctx, leader.lease.ID)
}
