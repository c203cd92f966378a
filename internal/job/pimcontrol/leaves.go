package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// leave is the report of a worker generation that it leaves, which is not answered yet.
type leave struct {
	worker     string
	generation int64
	respond    responder
}

// leave handles the report of a worker that it leaves. The worker ends with the response, which may wait for the ends of its
// runs.
func (c *Control) leave(request pimrpc.Leave, respond responder) {
	l := c.leadership
	known := c.state.Worker(request.ID)
	generation := request.Generation
	if known != nil && generation == 0 {
		generation = known.Generation
	}
	if known == nil || known.Generation > generation {
		respond(pimrpc.Done{})
		return
	}
	if l.fleet.OnLeave(request.ID, generation, c.now) {
		l.leaves = append(l.leaves, leave{request.ID, generation, respond})
		return
	}
	l.enqueueWrite(respond, pimjob.DropWorker{ID: request.ID, Generation: generation})
}

// answerLeaves answers the leaves that need not wait any longer.
func (l *leadership) answerLeaves(now time.Duration) {
	waiting := l.leaves[:0]
	l.nextLeaveAt = 0
	for _, leave := range l.leaves {
		at := l.fleet.LeaveAnswerAt(leave.worker, leave.generation)
		if now >= at {
			leave.respond(pimrpc.Done{})
			continue
		}
		waiting = append(waiting, leave)
		if l.nextLeaveAt == 0 || at < l.nextLeaveAt {
			l.nextLeaveAt = at
		}
	}
	clear(l.leaves[len(waiting):])
	l.leaves = waiting
}
