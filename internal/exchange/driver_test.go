package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// fakeServer responds to one attempt.
type server func(ctx context.Context, resumes bool, after int64) (*Reply, error)

// placer places each attempt on the next server of a list.
type servers struct {
	list    []server
	next    int
	results []Result
	doubts  func(silent time.Duration) bool
	startBy time.Duration
}

func (servers *servers) Place([]string) (Placement, *Unplaced) {
	if servers.next >= len(servers.list) {
		return nil, &Unplaced{Reason: "no servers left", Lasting: true}
	}
	servers.next++
	return &placed{servers: servers, number: servers.next - 1}, nil
}

type placed struct {
	servers *servers
	number  int
}

func (placed *placed) Server() string { return fmt.Sprint(placed.number) }
func (placed *placed) Started()       {}
func (placed *placed) Doubtful(silent time.Duration) bool {
	return placed.servers.doubts != nil && placed.servers.doubts(silent)
}
func (placed *placed) StartBy() time.Time {
	if placed.servers.startBy == 0 || placed.number > 0 {
		return time.Time{}
	}
	return time.Now().Add(placed.servers.startBy)
}
func (placed *placed) End(result Result) {
	placed.servers.results = append(placed.servers.results, result)
}
func (placed *placed) Send(ctx context.Context, resumes bool, after int64) (*Reply, error) {
	return placed.servers.list[placed.number](ctx, resumes, after)
}

// recorder is a Caller that records the response.
type page struct {
	heads  int
	status int
	text   strings.Builder
	leave  bool
}

func (page *page) Answer(answer *Answer) error {
	page.heads++
	page.status = answer.Status
	page.text.Write(answer.Body)
	return nil
}

func (page *page) Open(status int, _ http.Header) error {
	page.heads++
	page.status = status
	return nil
}

func (page *page) Forward(event []byte) error {
	if page.leave {
		return errors.New("gone")
	}
	page.text.Write(event)
	return nil
}

func whollyAnswers(status int, text string) server {
	return func(context.Context, bool, int64) (*Reply, error) {
		return &Reply{Status: status, Whole: &Answer{Status: status, Body: []byte(text)}, Close: func() {}}, nil
	}
}

func fails(err error) server {
	return func(context.Context, bool, int64) (*Reply, error) { return nil, err }
}

func hangs(ctx context.Context, _ bool, _ int64) (*Reply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// streams returns a server that sends the events from after+1 to last and then fails with end.
func streams(last int64, end error) server {
	return func(_ context.Context, resumes bool, after int64) (*Reply, error) {
		next := int64(1)
		if resumes {
			next = after + 1
		}
		return &Reply{Status: http.StatusOK, Close: func() {}, Next: func() (StreamEvent, error) {
			if next > last {
				return StreamEvent{}, end
			}
			next++
			return StreamEvent{Raw: fmt.Appendf(nil, "%d ", next-1), ID: next - 1, HasID: true}, nil
		}}, nil
	}
}

func carry(ctx context.Context, rules Rules, page *page, list ...server) (Outcome, *servers) {
	chosen := &servers{list: list}
	outcome := Run(ctx, Request{Rules: rules, Budget: &purse{left: 9}, Placer: chosen, Caller: page})
	return outcome, chosen
}

func TestAStreamIsOneWholeAnswerWhateverBreaks(t *testing.T) {
	page := &page{}
	outcome, chosen := carry(context.Background(), Rules{Repeatable: true, Runs: 3, Sends: 6}, page,
		streams(2, io.ErrUnexpectedEOF), fails(&ErrRefused{}), streams(4, io.ErrUnexpectedEOF), streams(6, io.EOF))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "1 2 3 4 5 6 ", page.text.String())
	require.Equal(t, 1, page.heads)
	require.Equal(t, []Result{ResultBroken, ResultRefused, ResultBroken, ResultServed}, chosen.results)
}

func TestAStreamThatCannotGoOnIsCutOff(t *testing.T) {
	page := &page{}
	outcome, _ := carry(context.Background(), once, page, streams(2, io.ErrUnexpectedEOF), streams(6, io.EOF))
	require.True(t, outcome.Cut)
	require.Equal(t, failure.Ran, outcome.Failure.Outcome)
	require.Equal(t, "1 2 ", page.text.String())
}

func TestTheBetterOfTwoAnswersIsDelivered(t *testing.T) {
	page := &page{}
	outcome, _ := carry(context.Background(), twice, page, whollyAnswers(500, "sorry"), whollyAnswers(200, "done"))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "done", page.text.String())
	page.text.Reset()
	outcome, _ = carry(context.Background(), twice, page, whollyAnswers(500, "sorry"), fails(errors.New("reset")))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "sorry", page.text.String())
	require.Equal(t, 500, page.status)
}

func TestTheEndOfTheTimeEndsTheServersWork(t *testing.T) {
	ended := make(chan struct{})
	server := func(ctx context.Context, _ bool, _ int64) (*Reply, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	outcome, chosen := carry(ctx, once, &page{}, server)
	<-ended
	require.Equal(t, failure.KindDeadline, outcome.Failure.Kind)
	require.Equal(t, failure.Unknown, outcome.Failure.Outcome)
	require.Equal(t, []Result{ResultSilent}, chosen.results)
}

func TestACallerWhoLeavesEndsTheServersWork(t *testing.T) {
	outcome, chosen := carry(context.Background(), once, &page{leave: true}, streams(3, io.EOF))
	require.Equal(t, failure.KindCallerLeft, outcome.Failure.Kind)
	require.Len(t, chosen.results, 1)
}

func TestAStopEndsOpenRequestsWithAWholeAnswer(t *testing.T) {
	stopping := make(chan struct{})
	close(stopping)
	outcome := Run(context.Background(), Request{
		Rules: once, Budget: &purse{}, Placer: &servers{list: []server{hangs}}, Caller: &page{}, Stopping: stopping,
	})
	require.Equal(t, failure.KindStopping, outcome.Failure.Kind)
	require.False(t, outcome.Cut)
}

func TestSilenceIsDoubtedBeforeAnotherServerIsTried(t *testing.T) {
	asked := 0
	chosen := &servers{list: []server{hangs, whollyAnswers(200, "done")}}
	chosen.doubts = func(time.Duration) bool {
		if len(chosen.results) > 0 {
			// On a busy machine the second server's response may also exceed the silence timeout.
			return false
		}
		asked++
		return asked == 3
	}
	page := &page{}
	outcome := Run(context.Background(), Request{
		Rules: twice, Budget: &purse{left: 1}, Placer: chosen, Caller: page, Patience: Patience{First: time.Millisecond},
	})
	require.Nil(t, outcome.Failure)
	require.Equal(t, 3, asked)
	require.Equal(t, []Result{ResultSilent, ResultServed}, chosen.results)
}

func TestAnAttemptThatDoesNotBeginInTimeIsEnded(t *testing.T) {
	for _, rules := range []Rules{once, twice} {
		ended := make(chan struct{})
		slow := func(ctx context.Context, _ bool, _ int64) (*Reply, error) {
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		}
		chosen := &servers{list: []server{slow, streams(2, io.EOF)}, startBy: time.Millisecond}
		page := &page{}
		outcome := Run(context.Background(), Request{Rules: rules, Budget: &purse{left: 1}, Placer: chosen, Caller: page})
		<-ended
		if rules.Repeatable {
			require.Nil(t, outcome.Failure)
			require.Equal(t, "1 2 ", page.text.String())
			continue
		}
		require.Equal(t, failure.Unknown, outcome.Failure.Outcome)
	}
}

func TestAStreamThatHasBegunIsNotEndedForBeingLate(t *testing.T) {
	chosen := &servers{list: []server{streams(50, io.EOF)}, startBy: 20 * time.Second}
	outcome := Run(context.Background(), Request{Rules: once, Budget: &purse{}, Placer: chosen, Caller: &page{}})
	require.Nil(t, outcome.Failure)
}
