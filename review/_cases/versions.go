package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// versionEvents is the number of events of a stream in this case, and versionPause the time between two of them.
const (
	versionEvents = 50
	versionPause  = 100 * time.Millisecond
)

// playVersions checks the rule LOST on streams that clients take up again, while servers of two software versions serve
// side by side. All nodes are killed at once and start again; the clients take their streams up once the nodes are in
// touch. Trouble "kill" has one software version.
func playVersions(f *fleet, trouble string) (verdict, error) {
	f.declare(document())
	for i := range streamEngines {
		s, err := f.startServer(fmt.Sprintf("i-oraakeli-%d", i+1), "oraakeli", model, zones[i%len(zones)], standin.StreamSoftware(versionEvents, versionPause))
		if err != nil {
			return verdict{}, err
		}
		if trouble != "kill" && i%2 == 1 {
			s.Software = "v2"
			s.write()
		}
	}
	if err := f.startNodes(streamNodes); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactMS * time.Millisecond)
	streams := make([]stream, streamsAtNode)
	var begun, done sync.WaitGroup
	resume := make(chan struct{})
	for i := range streams {
		begun.Add(1)
		done.Go(func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			streams[i].first = f.send(context.Background(), f.nodes[i%len(f.nodes)], "/verdict/x", func(h http.Header) { promptHeaders(h, 6*time.Second) }, func(id int) {
				if id == 3 {
					once()
				}
			})
			<-resume
			streams[i].second = f.takeUp(streams[i].first, f.nodes[(i+1)%len(f.nodes)])
		})
	}
	begun.Wait()
	if trouble != "0" {
		if err := f.restartNodes("kill"); err != nil {
			return verdict{}, err
		}
	}
	f.rec.logf("the clients take up their streams")
	close(resume)
	fresh := make([]*try, streamsAtNode)
	for i := range fresh {
		done.Go(func() {
			fresh[i] = f.send(context.Background(), f.nodes[i%len(f.nodes)], "/verdict/x", func(h http.Header) { promptHeaders(h, 2*time.Second) }, func(int) {})
		})
	}
	done.Wait()
	return f.judgeStreams(streams, fresh)
}
