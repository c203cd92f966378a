package pimcontrol

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// rejectionLog counts the log lines on rejected requests since the window began. suppressed counts the rejections that were
// not logged since the last line.
type rejectionLog struct {
	windowEnd         time.Duration
	lines, suppressed int
}

const (
	// maxRejectionLines is how many rejections are logged in rejectionLogWindow, so that a caller with a revoked key
	// doesn't fill the log.
	maxRejectionLines  = 20
	rejectionLogWindow = 2 * time.Second
)

// maxLoggedKeys bounds the line on a new configuration.
const maxLoggedKeys = 16

// digestsOfNewKeys returns the digests of the keys that only the second list holds, at most maxLoggedKeys.
func digestsOfNewKeys(before, after []pimorganisation.Organisation) []string {
	known := map[string]bool{}
	for i := range before {
		for _, key := range before[i].Keys {
			known[key] = true
		}
	}
	var digests []string
	for i := range after {
		for _, key := range after[i].Keys {
			if !known[key] && len(digests) < maxLoggedKeys {
				digests = append(digests, pimorganisation.Digest(key))
			}
		}
	}
	return digests
}

// rejectUnknownKey returns the response to a request whose key belonged to no organisation when it was received. If a
// configuration has added the key meanwhile, the request is to be repeated. It must be evaluated
// after the leadership is confirmed, since a leader that was replaced may not know the newest keys.
func (c *Control) rejectUnknownKey(address pimrpc.Address) pimrpc.Response {
	config := c.state.Config()
	queue, _ := config.FindQueue(address.Host, address.Path)
	if queue == nil {
		return c.rejectUnknownQueue(address.Host, address.Path)
	}
	if _, ok := config.Authorize(queue, address.Key); ok {
		return pimrpc.Repeat{}
	}
	return c.reportRejection(address, unknownKey(address))
}

// unknownKey returns the rejection of a request whose key belongs to no organisation.
func unknownKey(address pimrpc.Address) pimrpc.Response {
	if address.Key == "" {
		return pimrpc.Rejected{Code: pimcode.KeyUnknown, Detail: "no key is given"}
	}
	return pimrpc.Rejected{Code: pimcode.KeyUnknown, Detail: "key " + pimorganisation.Digest(address.Key) + " is unknown"}
}

// reportRejection logs and counts the rejection of a request, and returns it.
func (c *Control) reportRejection(address pimrpc.Address, response pimrpc.Response) pimrpc.Response {
	c.metrics.Add("access-rejected", 1)
	if !c.rejections.admit(c.now) {
		return response
	}
	entry := c.logger.Info().Str("host", address.Host).Str("path", address.Path)
	if address.Key != "" {
		entry = entry.Str("key-digest", pimorganisation.Digest(address.Key))
	}
	if rejected, ok := response.(pimrpc.Rejected); ok {
		entry = entry.Stringer("code", rejected.Code)
	}
	entry.Int64("version", c.state.Config().Version).Int("not-logged", c.rejections.suppressed).
		Msg("request rejected because of its key")
	c.rejections.suppressed = 0
	return response
}

// admit reports whether a rejection at a time may be logged. It counts those that may not.
func (r *rejectionLog) admit(now time.Duration) bool {
	if now >= r.windowEnd {
		r.windowEnd, r.lines = now+rejectionLogWindow, 0
	}
	if r.lines >= maxRejectionLines {
		r.suppressed++
		return false
	}
	r.lines++
	return true
}

// authorizeForJob returns the rejection of a request for a job of an organisation, or nil if the key that it gives belongs to
// that, or the job has no owner.
func (c *Control) authorizeForJob(address pimrpc.Address, id, organisation string) pimrpc.Response {
	if organisation == "" {
		return nil
	}
	caller := pimorganisation.FindByKey(c.state.Config().Organisations, address.Key)
	if caller == nil {
		return unknownKey(address)
	}
	if caller.Name != organisation {
		return pimrpc.Rejected{Code: pimcode.JobUnknown, Detail: "no job " + id}
	}
	return nil
}

// authorizeCancel returns the rejection of a cancellation, or nil if its key allows it.
func (c *Control) authorizeCancel(address pimrpc.Address) pimrpc.Response {
	queue, id := c.findTarget(address)
	if job := c.jobAt(address); job != nil {
		return c.authorizeForJob(address, id, job.Organisation)
	}
	if submission := c.submissionAt(address); submission != nil {
		return c.authorizeForJob(address, id, submission.organisation)
	}
	if queue == nil {
		return nil
	}
	if _, ok := c.state.Config().Authorize(queue, address.Key); !ok {
		return unknownKey(address)
	}
	return nil
}

// versionOfKeyOf returns the version of the configuration in effect, which holds the caller's key, or 0 for a job
// without an organisation.
func (c *Control) versionOfKeyOf(organisation string) int64 {
	if organisation == "" {
		return 0
	}
	return c.state.Config().Version
}

// respondIfEnded returns a responder for a cancellation. A cancellation whose key must be checked again had no effect, and is
// to be repeated.
func (c *Control) respondIfEnded(id string, respond responder) responder {
	return func(response pimrpc.Response) {
		if _, done := response.(pimrpc.Done); done {
			if job := c.state.Job(id); job == nil || !job.State.IsEnded() {
				response = pimrpc.Repeat{}
			}
		}
		respond(response)
	}
}
