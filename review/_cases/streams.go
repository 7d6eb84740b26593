package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Figures of the case of streams that are taken up again.
const (
	streamNodes   = 5
	streamEngines = 4
	// verdictEvents is the number of events of a stream, and verdictPause the time between two of them.
	verdictEvents = 20
	verdictPause  = 150 * time.Millisecond
	// silence is how long the store is down after the restart of the nodes, while it says nothing, and resets the same
	// while it resets connections.
	silence = 5 * time.Second
	resets  = 7200 * time.Millisecond
	// streamsAtNode is the number of streams that clients have open at the node that is killed.
	streamsAtNode = 24
	// leastResumed is the number of streams from which on the rule holds.
	leastResumed = 12
)

// playStreams checks the rule LOST on streams that clients take up again. While the store is silent, all nodes are killed
// and start again. Once the store has been sound again for longer than contact_ms, one node is killed, and the clients
// take up their streams at the others. Trouble "reset" has the store reset connections instead. Trouble "kill" is without
// the outage of the store, and 0 also without the restart of the nodes.
func playStreams(f *fleet, trouble string) (verdict, error) {
	f.declare(document())
	for i := range streamEngines {
		if _, err := f.startServer(fmt.Sprintf("i-oraakeli-%d", i+1), "oraakeli", model, zones[i%len(zones)], standin.StreamPaced(verdictEvents, verdictPause, "verdict")); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startNodes(streamNodes); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble != "0" {
		if err := f.restartNodes(trouble); err != nil {
			return verdict{}, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	// From here on the store and the nodes are sound: the nodes are in touch from contact_ms on.
	time.Sleep(2 * contactMS * time.Millisecond)
	f.rec.logf("the store and the nodes have been sound for %d ms", 2*contactMS)
	return f.takeUpStreams()
}

// restartNodes kills all nodes at once, while the store is down unless the trouble is "kill", and starts them again.
func (f *fleet) restartNodes(trouble string) error {
	switch trouble {
	case "reset":
		f.store.setOutage(outageReset)
		f.rec.logf("store: down, resets connections")
	case "kill":
	default:
		f.store.setOutage(outageSilent)
		f.rec.logf("store: down, says nothing")
	}
	for _, n := range f.nodes {
		n.kill()
	}
	f.rec.logf("all nodes are killed")
	time.Sleep(500 * time.Millisecond)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	switch trouble {
	case "reset":
		time.Sleep(resets)
	case "kill":
		time.Sleep((contactMS + 300) * time.Millisecond)
	default:
		time.Sleep(silence)
	}
	f.store.setOutage(outageNone)
	f.rec.logf("store: sound again; %d calls were not done", f.store.failed())
	return nil
}

// stream is a client's stream over its tries.
type stream struct {
	first, second *try
}

// takeUpStreams opens streams at the first node, kills it, and takes them up again at the other nodes, beside as many new
// ones.
func (f *fleet) takeUpStreams() (verdict, error) {
	killed, others := f.nodes[0], f.nodes[1:]
	streams := make([]stream, streamsAtNode)
	var begun, done sync.WaitGroup
	for i := range streams {
		begun.Add(1)
		done.Go(func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			streams[i].first = f.send(context.Background(), killed, "/verdict/x", func(h http.Header) { promptHeaders(h, 6*time.Second) }, func(id int) {
				if id == 3 {
					once()
				}
			})
			streams[i].second = f.takeUp(streams[i].first, others[i%len(others)])
		})
	}
	begun.Wait()
	killed.kill()
	f.rec.logf("node %s is killed with %d streams open", killed.name, streamsAtNode)
	fresh := make([]*try, streamsAtNode)
	for i := range fresh {
		done.Go(func() {
			fresh[i] = f.send(context.Background(), others[i%len(others)], "/verdict/x", func(h http.Header) { promptHeaders(h, 6*time.Second) }, func(int) {})
		})
	}
	done.Wait()
	return f.judgeStreams(streams, fresh)
}

// takeUp takes a stream up again at another node, as clients do after a broken connection. It returns nil if there was
// nothing to take up.
func (f *fleet) takeUp(broken *try, next *node) *try {
	if broken.whole || len(broken.events) == 0 {
		return nil
	}
	last := broken.events[len(broken.events)-1]
	return f.send(context.Background(), next, "/verdict/x", func(h http.Header) {
		promptHeaders(h, 6*time.Second-time.Since(broken.sentAt))
		h.Set(standin.HeaderResumes, broken.id)
		h.Set(standin.HeaderLastEventID, strconv.Itoa(last))
	}, func(int) {})
}

// judgeStreams checks the rule: of 12 or more streams that clients take up again, the share that goes on is under half of
// the share of new streams that begin.
func (f *fleet) judgeStreams(streams []stream, fresh []*try) (verdict, error) {
	resumed, wentOn, began, broke := 0, 0, 0, 0
	for _, s := range streams {
		if !s.first.whole {
			broke++
		}
		if s.second == nil {
			continue
		}
		resumed++
		last := s.first.events[len(s.first.events)-1]
		goesOn := s.second.status == http.StatusOK && len(s.second.events) > 0 && s.second.events[0] == last+1
		if goesOn {
			wentOn++
		}
		f.rec.notef("stream %s was sent to %s at %.3f and broke off at %.3f after event %d; taken up at %s at %.3f as %s: status %d, events %v %s", s.first.id, s.first.node.name, f.rec.at(s.first.sentAt), f.rec.at(s.first.endAt), last, s.second.node.name, f.rec.at(s.second.sentAt), s.second.id, s.second.status, s.second.events, s.second.failure)
	}
	for _, t := range fresh {
		if t.status == http.StatusOK && len(t.events) > 0 {
			began++
		}
		f.rec.notef("new stream %s was sent to %s at %.3f: status %d, %d events %s", t.id, t.node.name, f.rec.at(t.sentAt), t.status, len(t.events), t.failure)
	}
	for _, n := range f.nodes[1:] {
		f.rec.notef("node %s logged %d lines of \"read the recorded software versions\" since it was started last", n.name, n.countSince("read the recorded software versions"))
	}
	f.recordArrivals()
	f.rec.logf("%d streams were taken up again, %d of them went on; %d of %d new streams began", resumed, wentOn, began, len(fresh))
	if resumed < leastResumed {
		if broke == 0 {
			return verdict{reason: "LOST: no stream broke off, so that none was taken up again"}, nil
		}
		return verdict{}, errors.Errorf("only %d streams were taken up again", resumed)
	}
	reason := fmt.Sprintf("LOST: %d of %d streams went on that clients took up again at machines in touch, and %d of %d new streams began", wentOn, resumed, began, len(fresh))
	return verdict{broken: 2*wentOn*len(fresh) < began*resumed, reason: reason}, nil
}

// countSince returns how many lines with a text the node has logged since its last start.
func (n *node) countSince(text string) int {
	log := n.log()
	if at := strings.LastIndex(log, `"message":"started"`); at >= 0 {
		// A line may have been logged a moment before that one.
		log = log[max(0, strings.LastIndexByte(log[:at], '\n')-1000):]
	}
	return strings.Count(log, text)
}
