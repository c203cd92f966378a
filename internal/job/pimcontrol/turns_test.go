package pimcontrol

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// Guards against an entry of the log that takes a replica longer to apply than a leader may be silent.
func TestEntryLength(t *testing.T) {
	start := func(job string, step int) pimjob.Op { return pimjob.Start{Key: pimjob.TaskKey{Job: job, Step: step}} }
	repeat := func(op pimjob.Op, count int) []pimjob.Op {
		ops := make([]pimjob.Op, count)
		for i := range ops {
			ops[i] = op
		}
		return ops
	}
	for name, c := range map[string]struct {
		ops  []pimjob.Op
		want int
	}{
		"few operations":    {repeat(pimjob.Cancel{}, 3), 3},
		"many operations":   {repeat(pimjob.Cancel{}, 3*maxOpsPerEntry), maxOpsPerEntry},
		"starts of a step":  {repeat(start("a", 0), 2*maxOpsPerEntry), 2 * maxOpsPerEntry},
		"starts of a gang":  {append(repeat(start("a", 0), maxOpsPerEntry+5), start("a", 1)), maxOpsPerEntry + 5},
		"starts of two":     {append(repeat(start("a", 0), maxOpsPerEntry), start("b", 0)), maxOpsPerEntry},
		"ends after starts": {append(repeat(start("a", 0), maxOpsPerEntry+1), pimjob.End{}), maxOpsPerEntry + 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, entryLength(c.ops), c.want) })
	}
}

// Guards against responses before all parts of a write that takes several entries are committed.
func TestManyOperationsAreCommittedInParts(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startLeader(ctx, t)
	const workers = 2*maxOpsPerEntry + 10
	var ops []pimjob.Op
	for i := range workers {
		ops = append(ops, pimjob.PutWorker{Worker: pimjob.Worker{ID: fmt.Sprint("many-", i), Generation: 1, Address: "w:1"}})
	}
	responses := 0
	c.leadership.enqueueWrite(func(pimrpc.Response) {
		responses++
		assert.Equal(t, len(c.state.Workers()), workers+1)
	}, ops...)
	advanceUntil(ctx, t, c, func() bool { return responses > 0 })
	advanceUntil(ctx, t, c, func() bool { return len(c.leadership.proposed) == 0 })
	assert.Equal(t, responses, 1)
}

// Guards against long turns that nothing shows, and against a leader that goes on planning as much while it can't keep pace.
func TestLongTurn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startLeader(ctx, t)
	var lines bytes.Buffer
	c.logger = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	limit := c.leadership.startLimit
	for range 3 {
		c.beginTurn()
		c.turn.startedAt -= 2 * maxTurn
		c.turn.stepAt -= 2 * maxTurn
		assert.NilError(t, c.handleEvent(renewalResult(c.leadership.term)))
		assert.Assert(t, c.isTurnLong())
		c.endTurn()
		// The other turns are within the interval, however long this test takes.
		c.turns.nextLogAt = c.now + time.Hour
	}
	assert.Equal(t, c.leadership.startLimit, limit/8)
	assert.Equal(t, strings.Count(lines.String(), "took long"), 1)
	assert.Assert(t, strings.Contains(lines.String(), "result of pimfleet.RenewLease"), lines.String())
	var text bytes.Buffer
	assert.NilError(t, c.metrics.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "pimentoswitch_long_turns_total 3"), text.String())
	_, gauge, _ := strings.Cut(text.String(), "pimentoswitch_longest_turn_seconds ")
	longest, err := strconv.ParseFloat(strings.Fields(gauge)[0], 64)
	assert.NilError(t, err)
	assert.Assert(t, longest >= (2*maxTurn).Seconds())
}

// Guards against a leader that is deposed by its own plan: its heartbeats go out between the steps of a turn.
func TestHeartbeatsBetweenSteps(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := startLeader(ctx, t)
	c.beginTurn()
	time.Sleep(c.replica.NextTick() - pimclock.Now())
	before := c.replica.NextTick()
	c.endStep("plan")
	assert.Assert(t, c.replica.NextTick() > before)
}
