package pimwait_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimwait"
)

func cores(n int64) pimjob.Resources {
	return pimjob.Resources{Millicores: n * 1000, MemoryMB: n * 1000}
}

// fullHosts returns hosts of 8 cores; each has two runs of 4 cores that end after the times.
func fullHosts(count int, first, second time.Duration) pimwait.Forecast {
	var forecast pimwait.Forecast
	for range count {
		forecast = append(forecast, pimwait.NewHost(cores(0), []pimwait.Release{{second, cores(4)}, {first, cores(4)}}))
	}
	return forecast
}

func request(forecast pimwait.Forecast) pimwait.Request {
	return pimwait.Request{
		Preferred: forecast, Need: cores(4), Count: 1, Duration: time.Second, RemoteFactor: 2, RoomElsewhere: true,
	}
}

func assertReason(t *testing.T, request pimwait.Request, want pimwait.Reason) {
	t.Helper()
	decision := pimwait.Decide(request)
	assert.Equal(t, decision.Reason, want)
	assert.Equal(t, decision.Wait, want == pimwait.Worthwhile)
}

// TestDecide guards against waits that cost more than they gain and against waits beyond their bounds.
func TestDecide(t *testing.T) {
	hosts := func() pimwait.Forecast { return fullHosts(1, 300*time.Millisecond, 5*time.Second) }
	for name, test := range map[string]struct {
		modify func(r *pimwait.Request)
		want   pimwait.Reason
	}{
		"a short wait":              {func(*pimwait.Request) {}, pimwait.Worthwhile},
		"no preferred host":         {func(r *pimwait.Request) { r.Preferred = nil }, pimwait.PreferredGone},
		"no loss elsewhere":         {func(r *pimwait.Request) { r.RemoteFactor = 1 }, pimwait.WaitTooLong},
		"no remote factor":          {func(r *pimwait.Request) { r.RemoteFactor = 0 }, pimwait.WaitTooLong},
		"unknown duration":          {func(r *pimwait.Request) { r.Duration = 0 }, pimwait.WaitTooLong},
		"a small loss":              {func(r *pimwait.Request) { r.RemoteFactor = 1.2 }, pimwait.WaitTooLong},
		"both places needed":        {func(r *pimwait.Request) { r.Need = cores(8) }, pimwait.WaitTooLong},
		"larger than a host":        {func(r *pimwait.Request) { r.Need = cores(9) }, pimwait.WaitTooLong},
		"waited for the bound":      {func(r *pimwait.Request) { r.Waited = time.Second }, pimwait.BoundReached},
		"bound before the place":    {func(r *pimwait.Request) { r.Waited = 800 * time.Millisecond }, pimwait.BoundReached},
		"an idle job waits less":    {func(r *pimwait.Request) { r.Idle, r.Waited = true, 500*time.Millisecond }, pimwait.BoundReached},
		"late after the wait":       {func(r *pimwait.Request) { r.HasDeadline, r.Slack = true, 200*time.Millisecond }, pimwait.DeadlineNear},
		"no room elsewhere later":   {func(r *pimwait.Request) { r.RoomElsewhere = false }, pimwait.RoomElsewhereShort},
		"a gang larger than a host": {func(r *pimwait.Request) { r.Count = 3 }, pimwait.WaitTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			r := request(hosts())
			test.modify(&r)
			assertReason(t, r, test.want)
		})
	}
}

// TestManyTasksWantOneRack guards against a hot rack for which more tasks wait than it can start in time: 3 hosts start 3
// tasks after 300 ms and 3 more after 700 ms, and then none before 1,300 ms, which is no better than the loss of 1 s.
func TestManyTasksWantOneRack(t *testing.T) {
	forecast := fullHosts(3, 300*time.Millisecond, 700*time.Millisecond)
	waiting := 0
	for range 50 {
		if r := request(forecast); pimwait.Decide(r).Wait {
			_, ok := forecast.Claim(r.Need, r.Duration, 1)
			assert.Assert(t, ok)
			waiting++
		}
	}
	assert.Equal(t, waiting, 6)
}

// TestPlacesAreReused guards against counting each place only once: with a factor of 3 the place of a waiting task that
// has ended is worth waiting for as well.
func TestPlacesAreReused(t *testing.T) {
	forecast := fullHosts(1, 300*time.Millisecond, time.Hour)
	r := request(forecast)
	r.RemoteFactor = 3
	for _, want := range []time.Duration{300 * time.Millisecond, 1300 * time.Millisecond} {
		assert.Equal(t, pimwait.Decide(r).Expected, want)
		_, _ = forecast.Claim(r.Need, r.Duration, 1)
	}
	assertReason(t, r, pimwait.WaitTooLong)
}

// TestDecideLeavesTheForecast guards against a decision for a gang that reserves room.
func TestDecideLeavesTheForecast(t *testing.T) {
	forecast := fullHosts(2, 300*time.Millisecond, 700*time.Millisecond)
	r := request(forecast)
	r.Count = 4
	for range 3 {
		decision := pimwait.Decide(r)
		assert.Assert(t, decision.Wait)
		assert.Equal(t, decision.Expected, 700*time.Millisecond)
	}
	_, ok := forecast.Claim(cores(9), time.Second, 1)
	assert.Assert(t, !ok)
	r.Count = 1
	assert.Equal(t, pimwait.Decide(r).Expected, 300*time.Millisecond)
}
