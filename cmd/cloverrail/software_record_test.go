package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// writesSoftware reports whether a call to the store records software versions. The call can still be
// executed.
func writesSoftware(request *http.Request) bool {
	if !strings.HasSuffix(request.URL.Path, "/kv-txn") {
		return false
	}
	body, _ := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	var transaction struct {
		Put []struct{ Key string }
	}
	if json.Unmarshal(body, &transaction) != nil {
		return false
	}
	return len(transaction.Put) == 1 && transaction.Put[0].Key == platform.KeySoftware
}

// failRecords makes the writes of software versions fail, and returns the number of those that did.
func (f *softwareFleet) failRecords(fault standin.Fault) *atomic.Int64 {
	failed := &atomic.Int64{}
	f.store.SetFault(func(request *http.Request) standin.Fault {
		if writesSoftware(request) {
			failed.Add(1)
			return fault
		}
		return standin.FaultNone
	})
	return failed
}

// removeEngines ends engines, and takes them off the list.
func (f *softwareFleet) removeEngines(removed []*standin.Machine) {
	for _, m := range removed {
		m.Leave()
	}
	f.machines = slices.DeleteFunc(slices.Clone(f.machines), func(m *standin.Machine) bool { return slices.Contains(removed, m) })
}

// engineCount is the number of engines of each version.
const engineCount = 2

// Guards against streams that go on at another software version, since the record of theirs was under way
// when the store fell silent, and the version was gone when all nodes started anew.
func TestVersionWithoutRecordMixesNoStream(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultNoResponse, standin.FaultReset, standin.FaultUnavailable, standin.FaultRateLimited} {
		t.Run("beside a recorded version, "+fault.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			failed := f.failRecords(fault)
			for range engineCount {
				f.addEngine("v2")
			}
			f.nodes[0].waitUntil(func() bool { return failed.Load() > 0 })
			for _, n := range f.nodes {
				n.waitUntil(func() bool { return len(n.process.serverSet.Servers(time.Now())) == 2*engineCount })
			}
			f.disrupt(fault)
			streams := f.begin()
			f.replaceNodes()
			f.removeEngines(f.machines[engineCount:])
			f.store.SetFault(nil)
			f.requireCaughtUp(t, time.Now())
			f.resumeBegun(streams)
			requireContinued(t, streams, softwareStreams)
		})
		t.Run("in a fleet that starts for the first time, "+fault.String(), func(t *testing.T) {
			t.Parallel()
			f := &softwareFleet{fleetFixture: newFleet(t, 0, 0)}
			failed := f.failRecords(fault)
			for range engineCount {
				f.addEngine("v2")
			}
			for range 3 {
				f.addNode()
			}
			for _, n := range f.nodes {
				f.awaitReady(n)
			}
			f.nodes[0].waitUntil(func() bool { return failed.Load() > 0 })
			streams := f.begin()
			f.disrupt(fault)
			f.removeEngines(f.machines)
			f.store.SetFault(nil)
			for range engineCount {
				f.addEngine("v1")
			}
			f.replaceNodes()
			f.requireCaughtUp(t, time.Now())
			f.resumeBegun(streams)
			requireOneVersion(t, streams)
		})
	}
}

// Guards against a version that begins no streams although its record was written: the response to the
// write was lost, or it was done late.
func TestVersionBeginsStreamsOnceRecorded(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultNone, standin.FaultLostResponse, standin.FaultLate, standin.FaultSlow, standin.FaultStalledResponse} {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			f := newSoftwareFleet(t, 3, "v1")
			f.failRecords(fault)
			for range engineCount {
				f.addEngine("v2")
			}
			f.removeEngines(f.machines[:engineCount])
			listedAt := time.Now()
			for i := 0; ; i++ {
				s := &callerStream{}
				s.try(f.nodes[i%3], streamLength, nil)
				if s.complete {
					require.Equal(t, []string{"v2"}, s.versions)
					break
				}
				require.Equal(t, http.StatusServiceUnavailable, s.status, s.refusal)
				require.Contains(t, s.refusal, "not-run")
				require.NotEmpty(t, s.header.Get("Retry-After"))
				require.Less(t, time.Since(listedAt), lateRecordLimit, s.refusal)
			}
		})
	}
}

// lateRecordLimit is the time within which a version begins streams if the write of its record is done
// late: the store performs it 3 s after the call.
const lateRecordLimit = 6 * time.Second
