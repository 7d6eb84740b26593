package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// changingTime is how long the declaration changes, and declarationInterval the time between two changes.
	changingTime        = 2 * time.Second
	declarationInterval = 150 * time.Millisecond
	// detourCallers is the number of concurrent callers of each route.
	detourCallers = 3
)

// changed returns a declaration whose routes and timeouts differ from those of the one before.
func changed(version int64) standin.Document {
	document := newDocument(version, key)
	for i := range document.Routes {
		document.Routes[i].Timeout = 2000 + 100*int(version%30)
	}
	added := document.Routes[0]
	added.Name = fmt.Sprint("added-", version)
	added.PathPrefix = "/" + added.Name + "/"
	document.Routes = append(document.Routes, added)
	document.Limits.MaxBodyBytes += int(version % 2)
	return document
}

// Guards against requests that end without a response while their node, which is partitioned from the servers, sends them
// through other nodes and the declaration changes.
func TestDetoursEndWithResponseWhileDeclarationChanges(t *testing.T) {
	for mode, links := range partitionModes {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			f := newPartitionFixture(t, 3)
			for i := range 2 {
				f.startMachine(&standin.Machine{Name: fmt.Sprint("slow-p", i), Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
				f.startMachine(&standin.Machine{Name: fmt.Sprint("slow-e", i), Service: "engines", Model: model, Handler: standin.StreamPaced(20, 20*time.Millisecond, "token")})
			}
			f.warmUp(idempotent)
			f.cut(idempotent, links, []int{0})
			var callers sync.WaitGroup
			var sent, unanswered, served atomic.Int64
			until := time.Now().Add(changingTime)
			for _, c := range allCalls {
				for range detourCallers {
					callers.Go(func() {
						for time.Now().Before(until) {
							got := f.nodes[0].make(c)
							sent.Add(1)
							switch {
							case got.err != nil:
								unanswered.Add(1)
							case got.status == http.StatusOK:
								served.Add(1)
							}
						}
					})
				}
			}
			for version := int64(2); time.Now().Before(until); version++ {
				f.store.Put(standin.KeyConfiguration, changed(version))
				time.Sleep(declarationInterval)
			}
			callers.Wait()
			t.Logf("%d sent, %d served, %d without a response; forwarded: %v", sent.Load(), served.Load(), unanswered.Load(), f.nodes[0].metric("cloverrail_proxy_forwarded_total", ""))
			require.Zero(t, unanswered.Load())
			require.Greater(t, served.Load(), sent.Load()*9/10)
		})
	}
}
