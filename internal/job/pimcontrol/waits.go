package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
)

// waitLines limits the log lines about waits for preferred hosts.
type waitLines struct {
	windowEndsAt     time.Duration
	written, omitted int
}

const (
	// maxWaitLines is the maximum number of lines in each waitLineWindow. A hot rack can end hundreds of waits a second, and
	// the metrics count all of them.
	maxWaitLines   = 10
	waitLineWindow = time.Second
)

// takeOmitted begins another window if the last one has ended, and returns how many lines were left out in that.
func (l *waitLines) takeOmitted(now time.Duration) int {
	if now < l.windowEndsAt {
		return 0
	}
	omitted := l.omitted
	*l = waitLines{windowEndsAt: now + waitLineWindow}
	return omitted
}

// admit reports whether another line may be written in the window.
func (l *waitLines) admit() bool {
	if l.written >= maxWaitLines {
		l.omitted++
		return false
	}
	l.written++
	return true
}

// reportWaits counts the ended waits for preferred hosts by queue and logs some of them.
func (c *Control) reportWaits(waits []pimplan.EndedWait) {
	lines := &c.leadership.waitLines
	if omitted := lines.takeOmitted(c.now); omitted > 0 {
		c.logger.Info().Int("count", omitted).Msg("lines about waits for a preferred host were left out")
	}
	for _, wait := range waits {
		c.metrics.AddForQueue("queue-tasks-waited", wait.Queue, 1)
		c.metrics.AddForQueue("queue-wait-millis", wait.Queue, wait.Waited.Milliseconds())
		c.metrics.AddForQueue("queue-waits-"+wait.Outcome.String(), wait.Queue, 1)
		if lines.admit() {
			c.logger.Info().Stringer("task", wait.Key).Str("queue", wait.Queue).Stringer("outcome", wait.Outcome).
				Stringer("reason", wait.Reason).Int64("waited-ms", wait.Waited.Milliseconds()).
				Int64("expected-ms", wait.Expected.Milliseconds()).Int64("gain-ms", wait.Gain.Milliseconds()).
				Msg("task no longer waits for a preferred host")
		}
	}
}
