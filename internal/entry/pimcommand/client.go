package pimcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimdaemon"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/standin/pimplatform"
)

const pollInterval = 100 * time.Millisecond

// clientSettings are the settings of the commands that send requests to a running system.
var clientSettings = []pimsetting.Setting{
	{Flag: "entry", Default: "127.0.0.1:7501", Help: "HTTP addresses of entry daemons or of the balancer, separated by commas", Rule: "must be addresses separated by commas, at least one", Check: func(text string) bool {
		return text != "" && pimsetting.IsAddressList(text)
	}},
	{Flag: "timeout", Default: "15s", Help: "maximum time to wait", Rule: "must be a duration from 100ms to 1h", Check: pimsetting.IsDurationIn(100*time.Millisecond, time.Hour)},
}

func (c *invocation) balancer() *pimplatform.Balancer {
	return pimplatform.NewBalancer(c.settings.List("entry"))
}

// retry calls f until it succeeds, fails with an error that isn't transient, or ctx ends.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !isTransient(err) || ctx.Err() != nil {
			return decodeError(err)
		}
		select {
		case <-ctx.Done():
			return decodeError(err)
		case <-time.After(pollInterval):
		}
	}
}

// isTransient reports whether a retry may succeed, on another daemon or later. Repeating an operator's call is safe: a
// change with the same number and content is applied once.
func isTransient(err error) bool {
	var status *pimplatform.StatusError
	return !errors.As(err, &status) || status.Status == 503
}

// decodeError converts an HTTP error into an error with the result code and the faults that its body lists.
func decodeError(err error) error {
	var status *pimplatform.StatusError
	if err == nil || !errors.As(err, &status) {
		return withCode(err)
	}
	var body struct {
		pimdaemon.ErrorBody
		Faults []struct {
			Line             int
			Path, Text, Rule string
		} `json:"faults"`
	}
	if json.Unmarshal(status.Body, &body) != nil || body.Code == 0 {
		return withCode(err)
	}
	detail := body.Detail
	for _, fault := range body.Faults {
		detail += fmt.Sprintf("\nline %d: %s: %q: %s", fault.Line, fault.Path, fault.Text, fault.Rule)
	}
	return pimcode.New(pimcode.Code(body.Code), "%s", detail)
}

// waitInEffect waits until a configuration version is in effect on every daemon and prints how long that took.
func (c *invocation) waitInEffect(ctx context.Context, balancer *pimplatform.Balancer, version uint64) error {
	startedAt := time.Now()
	for {
		var status pimmessage.VersionStatus
		err := balancer.Do(ctx, "GET", fmt.Sprintf("/v1/force?version=%d", version), nil, &status)
		if err == nil && status.InForce {
			fmt.Fprintf(c.out, "in effect on every daemon after %.1f s\n", time.Since(startedAt).Seconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return pimcode.New(pimcode.CallTimeout,
				"version %d is accepted but not yet in effect on %v", version, status.Waiting)
		case <-time.After(pollInterval):
		}
	}
}
