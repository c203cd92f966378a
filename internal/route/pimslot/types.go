// Package pimslot decides which endpoint gets which request. The leader of a failure
// domain's group has the only table of the endpoints there, so that all entry daemons
// together never send more requests to an endpoint than it has slots.
//
// A credit takes a slot. It is freed when its holder reports a complete answer or that the
// attempt did not run. If no complete answer came, it is freed when the endpoint no longer
// lists the attempt in an announcement made after the loss of the answer was reported or
// after the caller's deadline.
//
// Times are durations on the clock of the daemon that leads the group.
package pimslot

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimqueue"
)

type (
	// Token is given to an endpoint and comes back with its next announcement. The leader
	// of the same term then knows that the announcement was made after At.
	Token struct {
		Term uint64        `json:"term" msgpack:"t"`
		At   time.Duration `json:"at" msgpack:"a"`
	}

	// Announcement is the state that an endpoint sends at least every AnnounceInterval.
	// InProgress lists the attempts that it is executing. A Leaving endpoint takes no more
	// requests. Boot differs at each start of the endpoint; Sequence never decreases within
	// a boot.
	Announcement struct {
		ID         string   `json:"id" msgpack:"i"`
		Service    string   `json:"service" msgpack:"s"`
		Domain     string   `json:"failure-domain" msgpack:"d"`
		Address    string   `json:"address" msgpack:"a"`
		Slots      int      `json:"slots" msgpack:"n"`
		Leaving    bool     `json:"leaving" msgpack:"l"`
		Boot       string   `json:"boot" msgpack:"b"`
		Sequence   uint64   `json:"sequence" msgpack:"q"`
		InProgress []string `json:"in-progress" msgpack:"p"`
		Token      Token    `json:"token" msgpack:"t"`
	}

	// Endpoint is a row of the endpoint table. Latency is the moving average of complete
	// answers; Failures counts failed and lost attempts in a row.
	Endpoint struct {
		Announcement
		LastSeenAt   time.Duration
		Latency      time.Duration
		Failures     int
		EjectedUntil time.Duration
		LastGrantAt  time.Duration
		Credits      map[string]*Credit
		// UncreditedAttempts counts the attempts that the endpoint lists without a credit.
		UncreditedAttempts int
	}

	// Credit is the right of the daemon Holder to send one attempt to one endpoint until
	// SendBy. It takes a slot until it is freed.
	Credit struct {
		Attempt   string        `msgpack:"a"`
		Endpoint  string        `msgpack:"e"`
		Holder    string        `msgpack:"h"`
		Deadline  time.Duration `msgpack:"d"`
		SendBy    time.Duration `msgpack:"b"`
		GrantedAt time.Duration `msgpack:"g"`
		Waited    time.Duration `msgpack:"w"`
		// LostAt is when the holder reported that it got no complete answer, or zero.
		LostAt time.Duration `msgpack:"l"`
	}

	// Acquire is a request for a slot. TTL is the time left until the caller's deadline.
	// With NoWait, the request is refused instead of queued. Avoid names an endpoint to use
	// only if there is no other.
	Acquire struct {
		Attempt  string        `msgpack:"a"`
		Service  string        `msgpack:"s"`
		Team     string        `msgpack:"t"`
		Weight   int           `msgpack:"w"`
		Priority int           `msgpack:"p"`
		TTL      time.Duration `msgpack:"d"`
		NoWait   bool          `msgpack:"n"`
		Avoid    string        `msgpack:"v"`
	}

	// Usage is how the holder of a credit used it.
	Usage uint8

	// Release returns a credit, or reports with UsageLost that the attempt may still run.
	Release struct {
		Attempt string        `msgpack:"a"`
		Usage   Usage         `msgpack:"u"`
		Latency time.Duration `msgpack:"l"`
	}

	// Reply answers an Acquire. With code OK, the attempt may be sent to Address until
	// Waited and SendWithin have passed since the holder first requested the slot. Both are
	// durations, so that the clocks of two hosts are never compared. Free is the number of
	// free slots left at the endpoint, Candidates the number of endpoints with a free slot.
	Reply struct {
		Attempt    string        `msgpack:"a"`
		Holder     string        `msgpack:"h"`
		Code       pimcode.Code  `msgpack:"c"`
		Endpoint   string        `msgpack:"e"`
		Address    string        `msgpack:"r"`
		Waited     time.Duration `msgpack:"q"`
		SendWithin time.Duration `msgpack:"s"`
		Term       uint64        `msgpack:"t"`
		RetryAfter time.Duration `msgpack:"w"`
		Free       int           `msgpack:"f"`
		Candidates int           `msgpack:"n"`
	}

	// Allocator holds the endpoint table, the credits and the queues of one failure domain.
	// awaitedDaemons are those that have not yet reported their credits to this leader;
	// nothing is granted until all have, or until readyAt.
	Allocator struct {
		term           uint64
		ready          bool
		readyAt        time.Duration
		awaitedDaemons map[string]bool
		outOfService   bool
		endpoints      map[string]*Endpoint
		credits        map[string]*Credit
		services       map[string]*serviceQueue
		replies        []Reply
	}

	// serviceQueue holds the requests that wait for a slot of one service, and the moving
	// average of its run time.
	serviceQueue struct {
		queue       *pimqueue.Queue
		waiting     map[string]waiter
		meanRunTime time.Duration
	}

	// waiter is a request for a slot that waits in a queue.
	waiter struct {
		holder  string
		acquire Acquire
	}
)

// How a credit was used.
const (
	UsageAnswered Usage = iota
	UsageNotSent
	// UsageRefused means that the endpoint refused the attempt.
	UsageRefused
	// UsageFailed means that the endpoint could not be reached.
	UsageFailed
	// UsageLost means that no complete answer came. The attempt may still run.
	UsageLost
)

// Timing of announcements, credits and outlier ejection.
const (
	AnnounceInterval = time.Second
	// ExpireAfter is the time without announcement after which an endpoint gets no requests.
	ExpireAfter = 3500 * time.Millisecond
	// ForgetAfter is the time without announcement after which an endpoint's row is deleted.
	ForgetAfter = 10 * time.Minute
	// SendWithin is how long after the grant an attempt may be sent.
	SendWithin = 500 * time.Millisecond
	// ClockMargin allows for the drift between the clocks of two hosts.
	ClockMargin = 200 * time.Millisecond
	// An endpoint is ejected for EjectFor after EjectFailures failures in a row.
	EjectFor      = 5 * time.Second
	EjectFailures = 3
)

// NoTerm is the term of a reply that does not come from a leader.
const NoTerm = ^uint64(0)

// Limits of an allocator. A new sample has the weight 1/smoothingDivisor in a moving average.
const (
	maxQueuePerService = 10_000
	maxSlots           = 4096
	maxEndpoints       = 10_000
	smoothingDivisor   = 8
)
