package pimcontrol_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

var markTimeouts = pimforward.CallTimeouts{LeaderWait: 20 * time.Second, Total: 20 * time.Second}

func (m *member) mark(t *testing.T, outOfService bool, isCurrent func() bool) pimrpc.Response {
	t.Helper()
	response, err := m.forwarder.MarkDomain(context.Background(), "east", outOfService, isCurrent, markTimeouts)
	assert.NilError(t, err)
	return response
}

func (m *member) countMarks(t *testing.T) int64 {
	t.Helper()
	response, err := m.forwarder.Call(context.Background(), pimrpc.CountMarks{Domain: "east"}, markTimeouts)
	assert.NilError(t, err)
	return response.(pimrpc.MarkCount).Count
}

func assertOutdated(t *testing.T, response pimrpc.Response, code pimcode.Code) {
	t.Helper()
	rejected, ok := response.(pimrpc.Rejected)
	assert.Assert(t, ok, "%+v", response)
	assert.Equal(t, rejected.Code, code)
}

func always() bool { return true }

// Guards against a mark that is held up on its way and undoes a newer one that was acknowledged.
func TestLateMarks(t *testing.T) {
	g := newGroup(t)
	frozen, other := g.members["a:1"], g.members["b:1"]
	assert.DeepEqual(t, other.mark(t, true, always), pimrpc.Done{})

	t.Run("an order that is no longer current is not sent", func(t *testing.T) {
		before := other.countMarks(t)
		assertOutdated(t, frozen.mark(t, false, func() bool { return false }), pimcode.CallOutdated)
		assert.Equal(t, other.countMarks(t), before)
	})
	t.Run("an order is not carried out after a newer one", func(t *testing.T) {
		checks := 0
		response := frozen.mark(t, false, func() bool {
			// The daemon stands still after the last check of its first attempt.
			if checks++; checks == 2 {
				assert.DeepEqual(t, other.mark(t, false, always), pimrpc.Done{})
				assert.DeepEqual(t, other.mark(t, true, always), pimrpc.Done{})
			}
			return checks <= 2
		})
		assertOutdated(t, response, pimcode.CallOutdated)
	})
	t.Run("a call to the leader that was held up has no effect", func(t *testing.T) {
		late := pimrpc.MarkDomain{Domain: "east", After: other.countMarks(t) - 1}
		response, err := frozen.forwarder.Call(context.Background(), late, markTimeouts)
		assert.NilError(t, err)
		assertOutdated(t, response, pimcode.MarkOutdated)
	})
	t.Run("an order that is sent again after a lost response is acknowledged", func(t *testing.T) {
		for range 3 {
			assert.DeepEqual(t, other.mark(t, true, always), pimrpc.Done{})
		}
		repeated := pimrpc.MarkDomain{Domain: "east", OutOfService: true, After: other.countMarks(t) - 1}
		response, err := frozen.forwarder.Call(context.Background(), repeated, markTimeouts)
		assert.NilError(t, err)
		assert.DeepEqual(t, response, pimrpc.Done{})
	})
	t.Run("the domain is put back into service by a current order", func(t *testing.T) {
		assert.DeepEqual(t, frozen.mark(t, false, always), pimrpc.Done{})
		outdated := pimrpc.MarkDomain{Domain: "east", OutOfService: true, After: other.countMarks(t) - 1}
		response, err := other.forwarder.Call(context.Background(), outdated, markTimeouts)
		assert.NilError(t, err)
		assertOutdated(t, response, pimcode.MarkOutdated)
	})
}
