// Program of the cases 4 to 6 of the review: it starts real nodes before stand-ins on loopback addresses, plays one
// case and judges it.
//
//	review-case CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// exit codes of a case.
const (
	held    = 0
	broken  = 1
	unable  = 2
	timeout = 110 * time.Second
)

// play is one case that is being played.
type play struct {
	root, temporary string
	trouble         bool
	record          *record
	store           *drillStore
	fleet           *fleet
}

var cases = map[string]func(p *play) (int, error){"wall": playWall, "fence": playFence, "refused": playRefused}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case wall|fence|refused FOLDER")
		os.Exit(unable)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and ends all that it started.
func run(playCase func(p *play) (int, error), folder string) int {
	p := &play{trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if p.record, err = newRecord(folder); err == nil {
		p.root, err = os.Getwd()
	}
	if err == nil {
		p.temporary, err = os.MkdirTemp("", "review-case-")
	}
	if err == nil {
		p.store, err = newDrillStore()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer os.RemoveAll(p.temporary)
	time.AfterFunc(timeout, func() {
		p.record.say("cannot run: the case took more than %v", timeout)
		if p.fleet != nil {
			p.fleet.stopAll()
		}
		os.Exit(unable)
	})
	result, err := playCase(p)
	if p.fleet != nil {
		p.fleet.stopAll()
	}
	if err != nil {
		p.record.say("cannot run: %v", err)
		return unable
	}
	return result
}

// startFleet starts the nodes of a site and waits until all are ready.
func (p *play) startFleet(s site) error {
	var err error
	if p.fleet, err = newFleet(p.root, p.temporary, s, p.store.address); err != nil {
		return err
	}
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	return p.fleet.awaitReady(20 * time.Second)
}

// beat writes the entries of servers again every heartbeat, as servers do.
func (p *play) beat(entries map[string]func() any) {
	const heartbeat = 1200 * time.Millisecond
	place := 0
	for id, entry := range entries {
		p.store.write(standinServers+id, entry())
		offset := heartbeat * time.Duration(place) / time.Duration(len(entries))
		place++
		go func() {
			time.Sleep(offset)
			for {
				p.store.write(standinServers+id, entry())
				time.Sleep(heartbeat)
			}
		}()
	}
}

const (
	standinServers = "servers/"
	configuration  = "op/config"
	modelVersion   = "op/version/"
)

// limits are those of the small deployments.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// engineService and engineRoute declare model servers, and a route to them.
func engineService(name, model string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_capacity_tokens": 110556, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "max_inflight": 12,
		"models": []map[string]any{{"name": model}},
	}}
}

func engineRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "path_prefix": "/lepu270/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 800, "priority": 1,
		"service": service, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 500,
	}
}
