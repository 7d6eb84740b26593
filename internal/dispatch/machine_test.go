package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// simulator simulates engines for one machine and checks every action. It draws
// crashes, rejections, lost connections, lost, repeated and reordered events, and
// responses of other attempts.
type world struct {
	t        *rapid.T
	machine  *Machine
	events   int
	emitted  int
	finished bool
	failed   *failure.Failure
	// started counts attempts that an engine started.
	started  int
	attempts []string
	queue    []Action
	// mismatched is set while the responding engine is not the one selected for the
	// attempt.
	tainted bool
}

type steadyBudget struct{ left int }

func (budget *steadyBudget) Withdraw(time.Time) bool {
	budget.left--
	return budget.left >= 0
}

func token(offset int) string { return fmt.Sprintf("token %d", offset) }

func (world *world) step(event Event) {
	world.queue = append(world.queue, world.machine.Step(time.Unix(0, 0), event)...)
}

func (world *world) event(offset int) engineapi.Event {
	if offset == world.events {
		return engineapi.Event{Offset: offset, Data: []byte("[DONE]"), Done: true}
	}
	if world.tainted {
		return engineapi.Event{Offset: offset, Data: []byte("text of other weights")}
	}
	return engineapi.Event{Offset: offset, Data: []byte(token(offset))}
}

func (world *world) run() {
	world.queue = world.machine.Start()
	for count := 0; len(world.queue) > 0; count++ {
		require.Less(world.t, count, 10_000, "the request must finish")
		next := world.queue[0]
		world.queue = world.queue[1:]
		world.perform(next)
	}
}

func (world *world) perform(action Action) {
	switch action := action.(type) {
	case Place:
		if rapid.IntRange(0, 9).Draw(world.t, "placement") == 0 {
			world.step(NotPlaced{Failure: failure.New(failure.KindNoEndpoint, "none", "wait")})
			return
		}
		attempt := fmt.Sprintf("attempt-%d", len(world.attempts))
		world.attempts = append(world.attempts, attempt)
		world.step(Placed{Attempt: attempt, Target: Target{Endpoint: attempt, Epoch: "epoch", Weights: "v1"}})
	case Send:
		require.Equal(world.t, world.emitted, action.ContinueAt, "an attempt continues at the caller's offset")
		world.serve(action.Attempt, action.ContinueAt)
	case Resume:
		require.Equal(world.t, world.emitted-1, action.After)
		world.play(action.Attempt, action.After+1)
	case Emit:
		require.Equal(world.t, token(world.emitted), string(action.Data), "events are complete, in order and from the right attempt")
		world.emitted++
	case Finish:
		require.Equal(world.t, world.events, world.emitted, "only a complete response is finished")
		world.finished = true
	case Fail:
		world.failed = action.Failure
	}
}

// openAttempt simulates the response to a new attempt.
func (world *world) serve(attempt string, from int) {
	answer := rapid.SampledFrom([]string{"serve", "serve", "serve", "not started", "dies", "other epoch", "other weights", "other attempt"}).Draw(world.t, "answer")
	world.tainted = strings.HasPrefix(answer, "other")
	switch answer {
	case "not started":
		world.step(NotStarted{Attempt: attempt, Reason: "leaving"})
		return
	case "dies":
		world.started++
		world.step(Broken{Attempt: attempt, Reason: "reset"})
		return
	case "other epoch":
		world.step(Opened{Attempt: attempt, Served: engineapi.Served{Attempt: attempt, Epoch: "newer", Weights: "v1"}})
	case "other weights":
		world.step(Opened{Attempt: attempt, Served: engineapi.Served{Attempt: attempt, Epoch: "epoch", Weights: "v0"}})
	case "other attempt":
		world.step(Opened{Attempt: attempt, Served: engineapi.Served{Attempt: "crossed", Epoch: "epoch", Weights: "v1"}})
	default:
		world.step(Opened{Attempt: attempt, Served: engineapi.Served{Attempt: attempt, Epoch: "epoch", Weights: "v1"}})
	}
	world.started++
	world.play(attempt, from)
}

// streamEvents sends events from an offset on with drawn faults, followed by the
// end of the connection.
func (world *world) play(attempt string, from int) {
	for offset := from; offset <= world.events && len(world.queue) == 0; {
		switch rapid.SampledFrom([]string{"next", "next", "next", "next", "repeat", "swap", "skip", "crossed", "late", "cut"}).Draw(world.t, "event") {
		case "next":
			world.step(Received{Attempt: attempt, Event: world.event(offset)})
			offset++
		case "repeat":
			world.step(Received{Attempt: attempt, Event: world.event(max(0, offset-1))})
		case "swap":
			if offset < world.events {
				world.step(Received{Attempt: attempt, Event: world.event(offset + 1)})
				world.step(Received{Attempt: attempt, Event: world.event(offset)})
				offset += 2
			}
		case "skip":
			offset++
		case "crossed":
			world.step(Received{Attempt: "someone else's", Event: engineapi.Event{Offset: offset, Data: []byte("wrong")}})
		case "late":
			earlier := rapid.SampledFrom(world.attempts).Draw(world.t, "earlier")
			if earlier != attempt {
				world.step(Received{Attempt: earlier, Event: engineapi.Event{Offset: offset, Data: []byte("wrong")}})
				world.step(Broken{Attempt: earlier, Reason: "late"})
			}
		case "cut":
			world.step(Broken{Attempt: attempt, Reason: "cut"})
			return
		}
		// Emit actions do not interrupt the stream.
		for len(world.queue) > 0 {
			emit, isEmit := world.queue[0].(Emit)
			if !isEmit {
				return
			}
			world.queue = world.queue[1:]
			world.perform(emit)
		}
	}
	if len(world.queue) == 0 && !world.machine.Finished() {
		world.step(Broken{Attempt: attempt, Reason: "end of connection"})
	}
}

func TestAnswersAreWholeOwnAndHonest(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		budget := &steadyBudget{left: rapid.IntRange(0, 6).Draw(t, "budget")}
		world := &world{t: t, machine: NewMachine(DefaultLimits, budget), events: rapid.IntRange(1, 30).Draw(t, "events")}
		world.run()
		require.True(t, world.machine.Finished())
		require.True(t, world.finished != (world.failed != nil), "a request has exactly one result")
		if world.failed != nil && world.failed.Outcome == failure.NotRun {
			require.Zero(t, world.started, "not-run is reported only if no engine started the request")
		}
		require.LessOrEqual(t, len(world.attempts), DefaultLimits.Attempts)
	})
}

func TestDeadlineIsAnsweredOnceAndCancels(t *testing.T) {
	machine := NewMachine(DefaultLimits, &steadyBudget{left: 1})
	machine.Start()
	machine.Step(time.Unix(0, 0), Placed{Attempt: "a", Target: Target{Endpoint: "e"}})
	actions := machine.Step(time.Unix(1, 0), Expired{})
	require.Len(t, actions, 2)
	require.IsType(t, Cancel{}, actions[0])
	refusal := actions[1].(Fail).Failure
	require.Equal(t, failure.Unknown, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, machine.Step(time.Unix(2, 0), Expired{}))
}

func TestCompleteTextNeedsNoContinuation(t *testing.T) {
	machine := NewMachine(DefaultLimits, &steadyBudget{left: 1})
	machine.Start()
	machine.Step(time.Unix(0, 0), Placed{Attempt: "a", Target: Target{Endpoint: "e"}})
	machine.Step(time.Unix(0, 0), Opened{Attempt: "a", Served: engineapi.Served{Attempt: "a"}})
	machine.Step(time.Unix(0, 0), Received{Attempt: "a", Event: engineapi.Event{Offset: 0, Data: []byte("all")}})
	machine.Step(time.Unix(0, 0), TextComplete{})
	require.Equal(t, []Action{Finish{}}, machine.Step(time.Unix(0, 0), Broken{Attempt: "a"}))
}
