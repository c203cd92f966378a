package pimforward

import (
	"context"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimclock"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
)

// MarkDomain sends an operator's mark on a failure domain to the leader. The mark has no effect if another one was committed
// after isCurrent has last confirmed that the operator still waits for a response: the order may have been read late, by a
// daemon that stood still, or may be held up between two daemons, when newer orders have been acknowledged elsewhere.
func (f *Forwarder) MarkDomain(
	ctx context.Context, domain string, outOfService bool, isCurrent func() bool, timeouts CallTimeouts,
) (pimrpc.Response, error) {
	startedAt := pimclock.Now()
	outdated := pimrpc.Rejected{Code: pimcode.CallOutdated, Detail: "the mark on " + domain + " was read too late"}
	if !isCurrent() {
		return outdated, nil
	}
	for {
		elapsed := pimclock.Now() - startedAt
		remaining := CallTimeouts{LeaderWait: timeouts.LeaderWait - elapsed, Total: timeouts.Total - elapsed}
		response, err := f.Call(ctx, pimrpc.CountMarks{Domain: domain}, remaining)
		if err != nil {
			return nil, err
		}
		marks, ok := response.(pimrpc.MarkCount)
		if !ok {
			return response, nil
		}
		if !isCurrent() {
			return outdated, nil
		}
		remaining.Total = timeouts.Total - (pimclock.Now() - startedAt)
		response, err = f.Call(ctx, pimrpc.MarkDomain{Domain: domain, OutOfService: outOfService, After: marks.Count}, remaining)
		if rejected, ok := response.(pimrpc.Rejected); !ok || rejected.Code != pimcode.MarkOutdated {
			return response, err
		}
	}
}
