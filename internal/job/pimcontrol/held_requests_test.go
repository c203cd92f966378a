package pimcontrol_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// Guards against requests that are held up between two daemons and executed after the caller was told elsewhere that they
// will not be, or has decided otherwise.
func TestHeldRequests(t *testing.T) {
	g := newGroup(t)
	leader := g.leader()
	config := pimjob.Config{
		Version: 2, Text: []byte("version 2"),
		Queues: []pimjob.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "svc", Attempts: 1}},
	}
	_, err := g.members[leader].call(pimrpc.PutConfig{Config: config}, testTimeout)
	assert.NilError(t, err)
	behind, other := g.members[g.others(leader)[0]], g.members[leader]
	address := func(id string) pimrpc.Address { return pimrpc.Address{Host: "h", Path: "/q/" + id} }
	submit := func(id string) pimrpc.Request {
		return pimrpc.Submit{Address: address(id), Submission: pimjob.Submission{ID: id, Steps: []pimjob.Step{{Count: 1}}}}
	}
	lookup := func(id string) pimrpc.Response {
		response, err := other.call(pimrpc.Lookup{Address: address(id)}, testTimeout)
		assert.NilError(t, err)
		return response
	}
	// The forwarder of the member learns the clock of the leader with the reply to a query.
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := behind.call(pimrpc.GetConfig{}, time.Second); err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(end))
	}

	hold := func(request pimrpc.Request, timeout, release time.Duration) error {
		behind.holdsRequests.Store(true)
		released := time.AfterFunc(release, func() { g.releaseRequests(behind) })
		defer released.Stop()
		_, err := behind.call(request, timeout)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			g.releaseRequests(behind)
			time.Sleep(100 * time.Millisecond)
		}
		return err
	}
	const lateJob, slowJob = "late000000000000", "slow000000000000"
	t.Run("a submission that its daemon has given up is not executed", func(t *testing.T) {
		err := hold(submit(lateJob), 700*time.Millisecond, time.Minute)
		assert.Equal(t, pimcode.Of(err), pimcode.OutcomeUnknown)
		assert.Equal(t, lookup(lateJob).(pimrpc.Rejected).Code, pimcode.JobUnknown)
	})
	t.Run("one that is merely slow is executed", func(t *testing.T) {
		assert.NilError(t, hold(submit(slowJob), 10*time.Second, 700*time.Millisecond))
		assert.Equal(t, lookup(slowJob).(pimrpc.JobState).State, pimjob.Queued)
	})
	t.Run("a cancel that its daemon has given up is not executed", func(t *testing.T) {
		err := hold(pimrpc.Cancel{Address: address(slowJob)}, 700*time.Millisecond, time.Minute)
		assert.Equal(t, pimcode.Of(err), pimcode.OutcomeUnknown)
		assert.Equal(t, lookup(slowJob).(pimrpc.JobState).State, pimjob.Queued)
	})
	t.Run("a cancel after it is", func(t *testing.T) {
		_, err := behind.call(pimrpc.Cancel{Address: address(slowJob)}, testTimeout)
		assert.NilError(t, err)
		assert.Equal(t, lookup(slowJob).(pimrpc.JobState).State, pimjob.Cancelled)
	})
}
