package pimslot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimqueue"
)

// NewAllocator returns the empty tables of a new leader. Nothing is granted until every
// daemon in awaited has reported the credits that it holds, or until no attempt can be sent
// on a credit of an earlier leader any more.
func NewAllocator(term uint64, now time.Duration, awaited []string) *Allocator {
	a := &Allocator{
		term:           term,
		readyAt:        now + SendWithin + ClockMargin,
		awaitedDaemons: map[string]bool{},
		endpoints:      map[string]*Endpoint{},
		credits:        map[string]*Credit{},
		services:       map[string]*serviceQueue{},
	}
	for _, id := range awaited {
		a.awaitedDaemons[id] = true
	}
	a.ready = len(a.awaitedDaemons) == 0
	return a
}

// Term returns the term of the leader.
func (a *Allocator) Term() uint64 { return a.term }

// Ready reports whether slots may be granted.
func (a *Allocator) Ready() bool { return a.ready }

// Endpoints returns the rows of the endpoint table sorted by ID.
func (a *Allocator) Endpoints() []*Endpoint {
	rows := slices.Collect(maps.Values(a.endpoints))
	slices.SortFunc(rows, func(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return rows
}

// SetOutOfService sets the operator's mark on the failure domain. Out of service, nothing
// is granted and all waiting requests are refused.
func (a *Allocator) SetOutOfService(out bool) {
	a.outOfService = out
	if !out {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		a.refuseWaiting(a.services[name], pimcode.DomainOutOfService, func(pimqueue.Item) bool { return true })
	}
}

// Take removes and returns the replies to send.
func (a *Allocator) Take() []Reply {
	replies := a.replies
	a.replies = nil
	return replies
}

// Recover adds the credits of earlier leaders that a daemon holds, and the announcements
// that it received. In these credits, Deadline is the time left and a LostAt above zero
// means that the answer is late.
func (a *Allocator) Recover(now time.Duration, holder string, credits []Credit, announcements []Announcement) {
	for _, announcement := range announcements {
		if a.endpoints[announcement.ID] == nil {
			announcement.Token = Token{}
			a.Announce(now, announcement)
		}
	}
	for _, credit := range credits {
		credit.Holder = holder
		credit.Deadline += now
		credit.SendBy = now
		credit.GrantedAt = now
		if credit.LostAt > 0 {
			credit.LostAt = now
		}
		a.addCredit(credit)
	}
	delete(a.awaitedDaemons, holder)
	if len(a.awaitedDaemons) == 0 && !a.ready {
		a.becomeReady(now)
	}
}

// becomeReady starts to grant slots.
func (a *Allocator) becomeReady(now time.Duration) {
	a.ready = true
	for _, endpoint := range a.endpoints {
		a.countUncredited(endpoint)
	}
	a.grantAll(now)
}

// addCredit adds a credit unless the attempt has one.
func (a *Allocator) addCredit(credit Credit) {
	if a.credits[credit.Attempt] != nil {
		return
	}
	a.credits[credit.Attempt] = &credit
	if endpoint := a.endpoints[credit.Endpoint]; endpoint != nil {
		endpoint.Credits[credit.Attempt] = &credit
	}
}

// Announce records an endpoint's announcement and returns the token for its next one. An
// announcement older than the last one of the same boot is ignored.
func (a *Allocator) Announce(now time.Duration, announcement Announcement) (Token, error) {
	if announcement.Slots < 0 || announcement.Slots > maxSlots {
		return Token{}, pimcode.New(pimcode.BadRequest, "slots: %d: must be 0 to %d", announcement.Slots, maxSlots)
	}
	endpoint := a.endpoints[announcement.ID]
	if endpoint == nil {
		if len(a.endpoints) >= maxEndpoints {
			return Token{}, pimcode.New(pimcode.Overloaded, "the endpoint table is full: %d endpoints", maxEndpoints)
		}
		endpoint = &Endpoint{Credits: map[string]*Credit{}}
		a.endpoints[announcement.ID] = endpoint
		a.adoptCredits(announcement.ID, endpoint)
	}
	older := announcement.Boot == endpoint.Boot && announcement.Sequence < endpoint.Sequence
	if !older {
		endpoint.Announcement = announcement
		endpoint.LastSeenAt = now
		a.freeUnlisted(endpoint, announcement)
		a.countUncredited(endpoint)
	}
	a.grant(now, endpoint.Service)
	return Token{Term: a.term, At: now}, nil
}

// adoptCredits adds the credits that were recovered before the endpoint announced itself.
func (a *Allocator) adoptCredits(id string, endpoint *Endpoint) {
	for attempt, credit := range a.credits {
		if credit.Endpoint == id {
			endpoint.Credits[attempt] = credit
		}
	}
}

// freeUnlisted frees the credits whose attempt the endpoint does not list, if the
// announcement was made more than ClockMargin after the deadline or, for an answer reported
// as lost, after that report and SendBy. An announcement without a token of this term frees
// nothing, because it may be older.
func (a *Allocator) freeUnlisted(endpoint *Endpoint, announcement Announcement) {
	if announcement.Token.Term != a.term {
		return
	}
	for attempt, credit := range endpoint.Credits {
		releasableAt := credit.Deadline + ClockMargin
		if credit.LostAt > 0 {
			releasableAt = max(credit.LostAt, credit.SendBy) + ClockMargin
		}
		if announcement.Token.At > releasableAt && !slices.Contains(announcement.InProgress, attempt) {
			a.freeCredit(attempt)
		}
	}
}

// countUncredited counts the attempts that the endpoint lists without a credit. Either the
// daemon that holds them did not report its credits to this leader, or they were released
// after the announcement was made. They take slots until the next announcement.
func (a *Allocator) countUncredited(endpoint *Endpoint) {
	endpoint.UncreditedAttempts = 0
	for _, attempt := range endpoint.InProgress {
		if endpoint.Credits[attempt] == nil {
			endpoint.UncreditedAttempts++
		}
	}
}

// freeCredit frees the slot of an attempt.
func (a *Allocator) freeCredit(attempt string) {
	credit := a.credits[attempt]
	if credit == nil {
		return
	}
	delete(a.credits, attempt)
	if endpoint := a.endpoints[credit.Endpoint]; endpoint != nil {
		delete(endpoint.Credits, attempt)
	}
}

// Acquire handles a daemon's request for a slot. The reply comes from Take, at once or when
// the request leaves the queue. A repeated request gets the credit it was granted before.
func (a *Allocator) Acquire(now time.Duration, holder string, acquire Acquire) {
	if credit := a.credits[acquire.Attempt]; credit != nil {
		a.replyGrant(credit)
		return
	}
	s := a.serviceNamed(acquire.Service)
	if _, waits := s.waiting[acquire.Attempt]; waits {
		return
	}
	if code, wait := a.admit(now, s, acquire); code != pimcode.OK {
		a.refuse(holder, acquire, code, wait)
		return
	}
	s.waiting[acquire.Attempt] = waiter{holder: holder, acquire: acquire}
	s.queue.Push(pimqueue.Item{
		Key:       acquire.Attempt,
		Team:      acquire.Team,
		Weight:    acquire.Weight,
		Priority:  acquire.Priority,
		Deadline:  now + acquire.TTL,
		ArrivedAt: now,
	})
	a.grant(now, acquire.Service)
	if _, waits := s.waiting[acquire.Attempt]; waits && acquire.NoWait {
		a.dequeue(s, acquire.Attempt)
		a.refuse(holder, acquire, pimcode.QueueFull, a.expectedWait(now, s, acquire))
	}
}

// serviceNamed returns the queue of a service and creates it if needed.
func (a *Allocator) serviceNamed(name string) *serviceQueue {
	s := a.services[name]
	if s == nil {
		s = &serviceQueue{queue: pimqueue.NewQueue(), waiting: map[string]waiter{}}
		a.services[name] = s
	}
	return s
}

// admit returns OK for a request that may enter the queue, else the reason for its refusal
// and the expected wait. A request that can't be answered before its deadline is refused.
func (a *Allocator) admit(now time.Duration, s *serviceQueue, acquire Acquire) (pimcode.Code, time.Duration) {
	if a.outOfService {
		return pimcode.DomainOutOfService, 0
	}
	if !a.ready {
		return pimcode.OK, 0
	}
	slots := a.totalSlots(now, acquire.Service)
	if slots == 0 {
		return pimcode.NoEndpoint, AnnounceInterval
	}
	wait := a.expectedWait(now, s, acquire)
	if s.queue.Len() >= maxQueuePerService {
		return pimcode.QueueFull, wait
	}
	if wait > 0 && wait+s.meanRunTime > acquire.TTL {
		return pimcode.WaitTooLong, wait
	}
	return pimcode.OK, 0
}

// expectedWait estimates the time until a slot is free for one more request of the same
// priority.
func (a *Allocator) expectedWait(now time.Duration, s *serviceQueue, acquire Acquire) time.Duration {
	slots := a.totalSlots(now, acquire.Service)
	if slots == 0 {
		return AnnounceInterval
	}
	if a.freeSlots(now, acquire.Service) > s.queue.Len() {
		return 0
	}
	ahead := s.queue.LenAtLeast(acquire.Priority) + 1
	return time.Duration(ahead) * s.meanRunTime / time.Duration(slots)
}

// refuse replies with a code. wait is how long the caller should wait before a retry.
func (a *Allocator) refuse(holder string, acquire Acquire, code pimcode.Code, wait time.Duration) {
	a.replies = append(a.replies, Reply{
		Attempt: acquire.Attempt, Holder: holder, Code: code, Term: a.term, RetryAfter: wait,
	})
}

// dequeue removes a waiting request without a reply.
func (a *Allocator) dequeue(s *serviceQueue, attempt string) {
	delete(s.waiting, attempt)
	s.queue.Remove(func(item pimqueue.Item) bool { return item.Key == attempt })
}

// refuseWaiting refuses the waiting requests for which drop is true.
func (a *Allocator) refuseWaiting(s *serviceQueue, code pimcode.Code, drop func(pimqueue.Item) bool) {
	for _, item := range s.queue.Remove(drop) {
		w := s.waiting[item.Key]
		delete(s.waiting, item.Key)
		a.refuse(w.holder, w.acquire, code, s.meanRunTime)
	}
}

// Release handles the end of an attempt, or withdraws a request that still waits.
func (a *Allocator) Release(now time.Duration, release Release) {
	for _, s := range a.services {
		if _, waits := s.waiting[release.Attempt]; waits {
			a.dequeue(s, release.Attempt)
		}
	}
	credit := a.credits[release.Attempt]
	if credit == nil {
		return
	}
	endpoint := a.endpoints[credit.Endpoint]
	if endpoint != nil {
		a.recordUsage(now, endpoint, release)
	}
	if release.Usage == UsageLost {
		credit.LostAt = now
		return
	}
	a.freeCredit(release.Attempt)
	if endpoint != nil {
		a.grant(now, endpoint.Service)
	}
}

// recordUsage updates latency and run time, and ejects an endpoint that keeps failing.
func (a *Allocator) recordUsage(now time.Duration, endpoint *Endpoint, release Release) {
	switch release.Usage {
	case UsageAnswered:
		endpoint.Failures = 0
		updateMean(&endpoint.Latency, release.Latency)
		updateMean(&a.serviceNamed(endpoint.Service).meanRunTime, release.Latency)
	case UsageFailed, UsageLost:
		endpoint.Failures++
	}
	if endpoint.Failures >= EjectFailures {
		endpoint.Failures = 0
		endpoint.EjectedUntil = now + EjectFor
	}
}

// updateMean adds a sample to a moving average. Zero means that there is no sample yet.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += (sample - *mean) / smoothingDivisor
}

// Tick ends the recovery of a new leader, refuses waiting requests past their deadline or
// without an endpoint, and deletes the rows of endpoints that are gone.
func (a *Allocator) Tick(now time.Duration) {
	if !a.ready && now >= a.readyAt {
		a.becomeReady(now)
	}
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		s := a.services[name]
		if s.queue.Len() > 0 {
			a.refuseWaiting(s, pimcode.DeadlineExceeded, func(item pimqueue.Item) bool { return item.Deadline <= now })
			a.grant(now, name)
		}
		if s.queue.Len() > 0 && a.ready && a.totalSlots(now, name) == 0 {
			a.refuseWaiting(s, pimcode.NoEndpoint, func(pimqueue.Item) bool { return true })
		}
	}
	for id, endpoint := range a.endpoints {
		if now-endpoint.LastSeenAt > ForgetAfter {
			a.forgetEndpoint(id, endpoint)
		}
	}
}

// forgetEndpoint deletes an endpoint's row and its credits.
func (a *Allocator) forgetEndpoint(id string, endpoint *Endpoint) {
	for attempt := range endpoint.Credits {
		delete(a.credits, attempt)
	}
	delete(a.endpoints, id)
}
