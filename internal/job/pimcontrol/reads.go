package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// pendingRead is a request whose response is read from the state once the leadership is
// confirmed for a time after receivedAt.
type pendingRead struct {
	receivedAt time.Duration
	evaluate   func() pimrpc.Response
	respond    responder
}

// confirmInterval is the minimum time between confirmations of the leadership for reads.
const confirmInterval = 4 * time.Millisecond

// enqueueRead responds with the result of evaluate once this leadership is confirmed, so that a
// leader that was replaced doesn't respond from an outdated state.
func (l *leadership) enqueueRead(c *Control, respond responder, evaluate func() pimrpc.Response) {
	l.reads = append(l.reads, pendingRead{receivedAt: c.now, evaluate: evaluate, respond: respond})
}

// answerReads responds to the reads that were received before the time for which the leadership is
// confirmed, and asks for a new confirmation for the others.
func (c *Control) answerReads() {
	l := c.leadership
	if len(l.reads) == 0 {
		return
	}
	confirmed, ok := c.replica.LeadershipConfirmedAt(c.now)
	reads := l.reads
	l.reads = nil
	for _, read := range reads {
		if ok && read.receivedAt < confirmed {
			read.respond(read.evaluate())
		} else {
			l.reads = append(l.reads, read)
		}
	}
	if len(l.reads) > 0 && c.now >= l.nextConfirmAt {
		l.nextConfirmAt = c.now + confirmInterval
		c.replica.ConfirmLeadership(c.now)
		c.flush()
	}
}
