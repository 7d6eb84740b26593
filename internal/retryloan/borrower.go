package retryloan

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

const (
	// callTimeout bounds the call to one node.
	callTimeout = 200 * time.Millisecond
	// maxLenders bounds the nodes that are asked in a round, and roundInterval is the time between two rounds.
	maxLenders    = 8
	roundInterval = 500 * time.Millisecond
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
}

// NewBorrower returns a borrower that calls the other nodes with a client. onResult is called with the result of each call
// and must not block.
func NewBorrower(nodes func() []fleet.Node, client *http.Client, onResult func(Result)) *Borrower {
	return &Borrower{nodes: nodes, client: client, onResult: onResult, borrowing: map[string]bool{}}
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
	for !b.finished(service, budget) {
		b.askRound(service, budget)
		time.Sleep(roundInterval)
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

// askRound asks some nodes, one after the other, in random order.
func (b *Borrower) askRound(service string, budget Budget) {
	nodes := b.nodes()
	for asked, i := range rand.Perm(len(nodes)) {
		wanted := min(maxWanted, budget.Wanted(boottime.Now()))
		if asked == maxLenders || wanted == 0 {
			return
		}
		granted, err := b.ask(nodes[i], loanRequest{Service: service, Wanted: wanted})
		budget.Borrowed(granted)
		b.onResult(Result{Service: service, Node: nodes[i].Name, Wanted: wanted, Granted: granted, Err: err})
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
