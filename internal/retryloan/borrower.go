package retryloan

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

const (
	// callTimeout bounds the call to one node.
	callTimeout = 200 * time.Millisecond
	// maxLenders bounds the nodes that are asked in a round, and minLendersAtOnce is how many are asked at once even for a
	// single retry, since some may not answer.
	maxLenders       = 8
	minLendersAtOnce = 2
	// minRoundInterval and maxRoundInterval bound the time between two rounds. It doubles while nobody lends any.
	minRoundInterval = 250 * time.Millisecond
	maxRoundInterval = 2 * time.Second
	// failureBackoff is how long a node that did not answer is not asked again.
	failureBackoff = 2 * time.Second
	// maxFailures bounds the remembered nodes that did not answer. When it is reached, all are forgotten.
	maxFailures = 4096
)

// Budget is a retry budget for which retries are borrowed.
type Budget interface {
	// Wanted returns how many retries the requests that wait lack.
	Wanted(now time.Time) int
	// Borrowed adds retries for them.
	Borrowed(retries int)
}

// Result is the outcome of a request for retries to another node.
type Result struct {
	Service string
	Node    string
	Wanted  int
	Granted int
	Err     error
}

// Borrower borrows retries from other nodes while requests wait for them. It is safe for concurrent use.
type Borrower struct {
	nodes    func() []fleet.Node
	client   *http.Client
	onResult func(Result)

	mutex sync.Mutex
	// borrowing holds the services for which nodes are being asked.
	borrowing map[string]bool
	// failedAt holds when nodes, by address, did not answer.
	failedAt map[string]time.Time
}

// NewBorrower returns a borrower that calls the other nodes with a client. onResult is called with the result of each call
// and must not block.
func NewBorrower(nodes func() []fleet.Node, client *http.Client, onResult func(Result)) *Borrower {
	return &Borrower{nodes: nodes, client: client, onResult: onResult, borrowing: map[string]bool{}, failedAt: map[string]time.Time{}}
}

// Borrow asks other nodes for retries of a service in the background, until no request waits for one that
// the budget lacks: each waits until its deadline at most.
func (b *Borrower) Borrow(service string, budget Budget) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.borrowing[service] {
		return
	}
	b.borrowing[service] = true
	go b.run(service, budget)
}

func (b *Borrower) run(service string, budget Budget) {
	interval := minRoundInterval
	for !b.finished(service, budget) {
		if b.askRound(service, budget) > 0 {
			interval = minRoundInterval
		}
		time.Sleep(interval)
		interval = min(2*interval, maxRoundInterval)
	}
}

// finished reports whether no more retries are wanted. Then the next call of Borrow asks again.
func (b *Borrower) finished(service string, budget Budget) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if budget.Wanted(boottime.Now()) > 0 {
		return false
	}
	delete(b.borrowing, service)
	return true
}

// askRound asks some nodes in random order, as many at once as retries are wanted, and returns how many retries they lent.
func (b *Borrower) askRound(service string, budget Budget) (granted int) {
	nodes := b.lenders()
	for len(nodes) > 0 {
		wanted := min(maxWanted, budget.Wanted(boottime.Now()))
		if wanted == 0 {
			break
		}
		atOnce := nodes[:min(len(nodes), max(wanted, minLendersAtOnce))]
		nodes = nodes[len(atOnce):]
		granted += b.askAll(atOnce, loanRequest{Service: service, Wanted: (wanted + len(atOnce) - 1) / len(atOnce)}, budget)
	}
	return granted
}

// lenders returns up to maxLenders nodes, in random order, without those that have lately not answered.
func (b *Borrower) lenders() (lenders []fleet.Node) {
	now, nodes := boottime.Now(), b.nodes()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, i := range rand.Perm(len(nodes)) {
		if len(lenders) == maxLenders {
			break
		}
		if failedAt, failed := b.failedAt[nodes[i].Address]; failed && now.Sub(failedAt) < failureBackoff {
			continue
		}
		lenders = append(lenders, nodes[i])
	}
	return lenders
}

// askAll asks nodes at the same time, and returns how many retries they lent.
func (b *Borrower) askAll(nodes []fleet.Node, wanted loanRequest, budget Budget) int {
	var asked sync.WaitGroup
	var total atomic.Int64
	for _, node := range nodes {
		asked.Go(func() {
			granted, err := b.ask(node, wanted)
			budget.Borrowed(granted)
			total.Add(int64(granted))
			b.recordAnswer(node, err)
			b.onResult(Result{Service: wanted.Service, Node: node.Name, Wanted: wanted.Wanted, Granted: granted, Err: err})
		})
	}
	asked.Wait()
	return int(total.Load())
}

func (b *Borrower) recordAnswer(node fleet.Node, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case err == nil:
		delete(b.failedAt, node.Address)
	case len(b.failedAt) >= maxFailures:
		clear(b.failedAt)
	default:
		b.failedAt[node.Address] = boottime.Now()
	}
}

// ask asks one node for retries, and returns how many it has lent.
func (b *Borrower) ask(node fleet.Node, wanted loanRequest) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := bytes.Buffer{}
	if err := gob.NewEncoder(&body).Encode(wanted); err != nil {
		return 0, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address+Path, &body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		// Former builds have no such path.
		return 0, errors.Errorf("node %s responded with status %s", node.Name, response.Status)
	}
	return decodeLoan(response.Body, wanted.Wanted)
}
