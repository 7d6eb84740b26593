package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	fenceModel   = "kela330000"
	fenceService = "pharm-llm"
)

// playFence plays case 6: the store is away for a moment and comes back from a copy that is some seconds old, while
// new weights are rolled out to servers that do not check fencing tokens.
func playFence(p *play) (int, error) {
	firstEra, nextEra := "0", "1"
	if os.Getenv("FIRST_ERA") == "1" {
		firstEra, nextEra = "1", "2"
	}
	p.store.ReportEra(firstEra)
	var mutex sync.Mutex
	var orders []order
	entries := map[string]func() any{}
	for i := range 9 {
		e, err := newEngine(fmt.Sprintf("i-engine-%02d", i+1), derwent.zoneNames[i%4], fenceModel, 760*time.Millisecond)
		if err != nil {
			return unable, err
		}
		e.onUse = func(use) {}
		e.onOrder = func(o order) {
			mutex.Lock()
			defer mutex.Unlock()
			orders = append(orders, o)
		}
		entries[e.id] = func() any { return e.entry(fenceService) }
	}
	document := map[string]any{
		"version": 1, "routes": []any{engineRoute(fenceService)}, "services": []any{engineService(fenceService, fenceModel)}, "limits": limits,
		"tenants": []any{map[string]any{"name": "chain-1", "api_keys": []string{"key-of-chain-1"}, "priority": 1, "isolated": false}},
	}
	p.store.write(configuration, document)
	p.nameVersion(1)
	p.beat(entries)
	if err := p.startFleet(derwent); err != nil {
		return unable, err
	}
	time.Sleep(4 * time.Second)
	copied := p.store.TakeSnapshot()
	time.Sleep(3 * time.Second)
	p.nameVersion(2)
	time.Sleep(2500 * time.Millisecond)
	if p.trouble {
		p.record.say("the store (Store-Era %s) goes away", firstEra)
		p.store.leave()
	}
	time.Sleep(700 * time.Millisecond)
	if p.trouble {
		p.store.comeBack(copied, nextEra)
		p.record.say("the store is back from a copy that is 6.2 s old, with Store-Era %s", nextEra)
	}
	time.Sleep(time.Second)
	p.store.write(configuration, document)
	p.nameVersion(2)
	time.Sleep(time.Second)
	p.nameVersion(3)
	time.Sleep(15 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	if len(orders) < 9 {
		return unable, fmt.Errorf("only %d orders were sent", len(orders))
	}
	return p.judgeFence(orders), nil
}

// nameVersion names a version of the weights, as the operator does.
func (p *play) nameVersion(version int) {
	p.record.say("the operator names version %d of the weights", version)
	p.store.write(modelVersion+fenceModel, map[string]any{"model": fenceModel, "version": version})
}

// judgeFence applies ONE to the orders that each server got: two holders share a fencing token, or a lower fencing
// token follows a higher one where servers do not check it.
func (p *play) judgeFence(orders []order) int {
	highest, holders := map[string]int64{}, map[int64]string{}
	lower, shared := 0, 0
	for _, o := range orders {
		p.record.line("%s at %.3f: order of %s with fencing token %d: version %d, answer %d", o.engine, o.at.Sub(p.record.started).Seconds(), o.holder, o.fence, o.version, o.status)
		if o.fence < highest[o.engine] {
			lower++
			p.record.line("  a lower fencing token follows %d", highest[o.engine])
		}
		highest[o.engine] = max(highest[o.engine], o.fence)
		if other, known := holders[o.fence]; known && other != o.holder {
			shared++
			p.record.line("  %s has used this fencing token", other)
		}
		holders[o.fence] = o.holder
	}
	p.record.say("%d orders; %d have a lower fencing token than one before them at the same server, %d share one with another holder", len(orders), lower, shared)
	if lower+shared > 0 {
		return broken
	}
	return held
}
