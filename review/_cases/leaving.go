package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Figures of the case of the last server that leaves.
const (
	leavingNodes = 3
	// submitWork is how long a request runs, and submitInterval the time between two requests.
	submitWork     = 60 * time.Millisecond
	submitInterval = 20 * time.Millisecond
	// crashedFor is the time from a crash until the entry is gone: three heartbeats.
	crashedFor = 3 * heartbeat
	// servesOn is how much longer than drain_ms a server serves after its entry has gone.
	servesOn = 1500 * time.Millisecond
)

// playLeaving checks the rule DRAIN. Two of three servers of a service crash, and once their entries are gone the third
// one leaves without saying that it drains: its entry goes, it serves on for drain_ms and a little longer, and ends.
// Trouble "one" is without the crashes.
func playLeaving(f *fleet, trouble string) (verdict, error) {
	f.declare(document())
	var servers []*server
	for i := range 3 {
		s, err := f.startServer(fmt.Sprintf("i-vuoro-%d", i+1), "vuoro-api", "", zones[i], submit)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	if err := f.startNodes(leavingNodes); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactMS * time.Millisecond)
	clients := f.startClients()
	time.Sleep(2 * time.Second)
	if trouble == "1" {
		f.crash(servers[1:])
	}
	time.Sleep(crashedFor + time.Second)
	last, left := servers[0], time.Time{}
	if trouble != "0" {
		left = last.remove()
		f.rec.logf("server %s leaves: the store has removed its entry at %.3f", last.Instance, f.rec.at(left))
	}
	time.Sleep(drainMS*time.Millisecond + servesOn)
	if trouble != "0" {
		last.end()
		f.rec.logf("server %s ends", last.Instance)
	}
	time.Sleep(time.Second)
	return f.judgeLeaving(last, left, clients.stop()), nil
}

// submit runs a request that may not be repeated.
func submit(s *standin.Server, w http.ResponseWriter, r *http.Request) {
	time.Sleep(submitWork)
	standin.Respond(http.StatusOK, r.Header.Get(standin.HeaderRequestID))(s, w, r)
}

// crash ends servers without a word. The store removes their entries after three heartbeats.
func (f *fleet) crash(servers []*server) {
	for _, s := range servers {
		s.unlist()
		s.end()
		f.rec.logf("server %s crashes", s.Instance)
		time.AfterFunc(crashedFor, func() {
			s.remove()
			f.rec.logf("the store has removed the entry of %s after three heartbeats of silence", s.Instance)
		})
	}
}

// clients send requests that may not be repeated, to all nodes in turn.
type clients struct {
	cancel func()
	done   chan struct{}
	mutex  sync.Mutex
	tries  []*try
}

func (f *fleet) startClients() *clients {
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		var open sync.WaitGroup
		for i := 0; ctx.Err() == nil; i++ {
			open.Go(func() {
				t := f.send(context.Background(), f.nodes[i%len(f.nodes)], "/submit/x", func(h http.Header) { h.Set(standin.HeaderDeadline, "4000") }, nil)
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.tries = append(c.tries, t)
			})
			time.Sleep(submitInterval)
		}
		open.Wait()
	}()
	return c
}

// stop ends the clients and returns all tries, by ID.
func (c *clients) stop() map[string]*try {
	c.cancel()
	<-c.done
	byID := map[string]*try{}
	for _, t := range c.tries {
		byID[t.id] = t
	}
	return byID
}

// judgeLeaving checks the rule: no request reaches a server more than drain_ms after it was acknowledged as gone. Left is
// zero if the server has not left.
func (f *fleet) judgeLeaving(last *server, left time.Time, tries map[string]*try) verdict {
	late, lost := 0, 0
	statuses := map[int]int{}
	for _, t := range tries {
		statuses[t.status]++
	}
	bound := left.Add(drainMS * time.Millisecond)
	for _, a := range last.Arrivals() {
		t := tries[a.Header.Get(standin.HeaderRequestID)]
		if left.IsZero() || !a.At.After(bound) || t == nil {
			continue
		}
		late++
		what := "answered"
		if !t.whole || t.status != http.StatusOK {
			lost++
			what = "lost"
		}
		f.rec.notef("request %s was sent to %s at %.3f, reached %s at %.3f, %d ms after that was gone, ran: %t, and was %s: status %d %s %v", t.id, t.node.name, f.rec.at(t.sentAt), last.Instance, f.rec.at(a.At), a.At.Sub(left).Milliseconds(), a.Ran, what, t.status, t.failure, t.err)
	}
	f.recordArrivals()
	f.rec.logf("%d requests were sent; answers by status: %v", len(tries), statuses)
	reason := fmt.Sprintf("DRAIN: %d requests reached a server more than %d ms after the store had acknowledged that it was gone; %d of these began to run and got no answer of the server", late, drainMS, lost)
	return verdict{broken: late > 0, reason: reason}
}
