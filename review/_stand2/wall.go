package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	wallModel   = "daka510000"
	wallService = "oraakeli"
	// alpha becomes isolated; beta never is.
	alphaKey, betaKey = "key-of-alpha", "key-of-beta"
	// configBound is config_ms of the small deployments.
	configBound = 2 * time.Second
)

// playWall plays case 4: the operator declares a tenant isolated that was not before.
func playWall(p *play) (int, error) {
	var mutex sync.Mutex
	var uses []use
	entries := map[string]func() any{}
	for i := range 12 {
		e, err := newEngine(fmt.Sprintf("i-engine-%02d", i+1), kuusisto.zoneNames[i%3], wallModel, 630*time.Millisecond)
		if err != nil {
			return unable, err
		}
		e.onOrder = func(order) {}
		e.onUse = func(u use) {
			mutex.Lock()
			defer mutex.Unlock()
			uses = append(uses, u)
		}
		e.onRun = func(id, tenant string) { p.record.line("%s: runs request %s of %s", e.id, id, tenant) }
		entries[e.id] = func() any { return e.entry(wallService) }
	}
	p.store.write(configuration, wallDocument(1, false))
	p.store.write(modelVersion+wallModel, map[string]any{"model": wallModel, "version": 1})
	p.beat(entries)
	if err := p.startFleet(kuusisto); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second)
	p.record.say("alpha, which is not isolated yet, sends requests with shared parts of prompts")
	sentAt := map[string]time.Time{}
	if got := p.sendPrompts("alpha-1", alphaKey, 48, sentAt); got < 40 {
		return unable, fmt.Errorf("only %d of 48 requests were served before the change", got)
	}
	p.store.write(configuration, wallDocument(2, p.trouble))
	acknowledged := time.Now()
	p.record.say("the store has acknowledged version 2 of the configuration: alpha isolated = %v", p.trouble)
	time.Sleep(configBound + 2*time.Second)
	p.record.say("%.1f s after the acknowledgement alpha and beta send requests with the same shared parts", time.Since(acknowledged).Seconds())
	served := p.sendPrompts("beta-2", betaKey, 48, sentAt) + p.sendPrompts("alpha-2", alphaKey, 24, sentAt)
	if served < 60 {
		return unable, fmt.Errorf("only %d of 72 requests were served after the change", served)
	}
	mutex.Lock()
	defer mutex.Unlock()
	return p.judgeWall(uses, sentAt, acknowledged), nil
}

// judgeWall applies WALL: a request uses memory made by a request of another tenant, and one of the two is isolated.
// A use counts if the request that uses the memory was sent more than config_ms after the acknowledgement.
func (p *play) judgeWall(uses []use, sentAt map[string]time.Time, acknowledged time.Time) int {
	breaks, foreign := 0, 0
	for _, u := range uses {
		p.record.line("%s: request %s of %s runs on part %s that request %s of %s made", u.engine, u.request, u.tenant, u.part, u.maker, u.makersName)
		if u.tenant == u.makersName {
			continue
		}
		foreign++
		late := sentAt[u.request].After(acknowledged.Add(configBound))
		if isolated := p.trouble && (u.tenant == "alpha" || u.makersName == "alpha"); late && isolated {
			breaks++
		}
	}
	p.record.say("%d parts were used, %d of them made by another tenant; %d uses break WALL", len(uses), foreign, breaks)
	if breaks > 0 {
		return broken
	}
	return held
}

// sendPrompts sends requests with four shared first parts to all nodes in turn, and returns how many were served.
func (p *play) sendPrompts(prefix, key string, count int, sentAt map[string]time.Time) (served int) {
	var mutex sync.Mutex
	var done sync.WaitGroup
	for i := range count {
		done.Go(func() {
			id := fmt.Sprintf("%s-%03d", prefix, i)
			parts := fmt.Sprintf("5c1e07a%d:2520,91bd3f0%d:3780,%x:2890", i%4, i%4, []byte(id))
			c := call{id: id, path: "/lepu270/2f", key: key, model: wallModel, tokens: "9190,13", parts: parts, body: "campaign", deadline: 6 * time.Second}
			got := send(p.fleet.nodes[i%len(p.fleet.nodes)], c)
			p.record.line("client: request %s: %s", id, got.text())
			mutex.Lock()
			defer mutex.Unlock()
			sentAt[id] = got.sentAt
			if got.served() {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	done.Wait()
	return served
}

func wallDocument(version int, isolated bool) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{engineRoute(wallService)}, "services": []any{engineService(wallService, wallModel)}, "limits": limits,
		"tenants": []any{
			map[string]any{"name": "alpha", "api_keys": []string{alphaKey}, "priority": 1, "isolated": isolated},
			map[string]any{"name": "beta", "api_keys": []string{betaKey}, "priority": 1, "isolated": false},
		},
	}
}
