// Package pimslot decides which endpoint gets which request. The leader of a
// failure domain's group holds the one table of the endpoints there, so that all
// entry daemons together never send an endpoint more than its slots.
//
// A slot is taken by a credit. A credit is freed when its holder reports a whole
// answer or that nothing was sent, or, where the answer never came, when the
// endpoint itself no longer lists the attempt in an announcement that it made
// after the credit's time was over.
package pimslot

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimqueue"
)

type (
	// Token is handed to an endpoint and comes back with its next announcement. It
	// tells the leader of the same term when the announcement can't be older than.
	Token struct {
		Term uint64        `json:"term" msgpack:"t"`
		At   time.Duration `json:"at" msgpack:"a"`
	}

	// Announcement is what an endpoint says of itself, at least every AnnounceInterval.
	// InProgress lists the attempts that it holds; Boot differs at each of its starts.
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

	// Endpoint is a row of the endpoint table.
	Endpoint struct {
		Announcement
		LastSeenAt   time.Duration
		Latency      time.Duration
		Failures     int
		EjectedUntil time.Duration
		LastGrantAt  time.Duration
		Credits      map[string]*Credit
		// UncreditedAttempts counts attempts that the endpoint lists and no credit explains.
		UncreditedAttempts int
	}

	// Credit is the right to send one attempt to one endpoint until SendBy.
	Credit struct {
		Attempt   string        `msgpack:"a"`
		Endpoint  string        `msgpack:"e"`
		Holder    string        `msgpack:"h"`
		Deadline  time.Duration `msgpack:"d"`
		SendBy    time.Duration `msgpack:"b"`
		GrantedAt time.Duration `msgpack:"g"`
		Waited    time.Duration `msgpack:"w"`
		// LostAt is set when the holder gave up without a whole answer.
		LostAt time.Duration `msgpack:"l"`
	}

	// Acquire asks for a slot. TTL is the time left until the caller's deadline.
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

	// Usage tells how the holder of a credit used it.
	Usage uint8

	// Release gives a credit back, or reports its answer as lost.
	Release struct {
		Attempt string        `msgpack:"a"`
		Usage   Usage         `msgpack:"u"`
		Latency time.Duration `msgpack:"l"`
	}

	// Reply answers an Acquire. With code OK the attempt may be sent to Address until
	// Waited and SendWithin have passed since the holder first asked. Both are
	// durations, so no clock of another host is read.
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

	// Allocator is the table and the queues of one failure domain, as its leader holds them.
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

	// serviceQueue holds the queue of one serviceQueue and what was learned of its run time.
	serviceQueue struct {
		queue       *pimqueue.Queue
		waiting     map[string]waiter
		meanRunTime time.Duration
	}

	waiter struct {
		holder  string
		acquire Acquire
	}
)

// How a credit was used.
const (
	UsageAnswered Usage = iota
	UsageNotSent
	UsageRefused
	UsageFailed
	UsageLost
)

// Timing of announcements, credits and outlier ejection.
const (
	AnnounceInterval = time.Second
	ExpireAfter      = 3500 * time.Millisecond
	ForgetAfter      = 10 * time.Minute
	SendWithin       = 500 * time.Millisecond
	ClockMargin      = 200 * time.Millisecond
	EjectFor         = 5 * time.Second
	EjectFailures    = 3
)

// NoTerm is the term of a reply that no leader gave.
const NoTerm = ^uint64(0)

const (
	maxQueuePerService = 10_000
	maxSlots           = 4096
	maxEndpoints       = 10_000
	smoothingDivisor   = 8
)
