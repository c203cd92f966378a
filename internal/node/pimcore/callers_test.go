package pimcore_test

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

// callerRequest is a request of a caller that repeats it, through any daemon, until the outcome
// is known. With a digestSuffix, its content differs from that of other requests of its id.
type callerRequest struct {
	id           string
	service      string
	idempotent   bool
	deadline     time.Duration
	digestSuffix string
	retries      int
	team         string
	priority     int
}

// request sends a caller's request through a random running host, and repeats it if no answer
// comes within half a second after its deadline.
func (sim *simulation) request(c *callerRequest) {
	hosts := sim.runningHosts("")
	if len(hosts) == 0 {
		sim.retryRequest(c)
		return
	}
	name := hosts[sim.random.IntN(len(hosts))]
	answered := false
	token := sim.newReplyToken(func(command pimcore.Command) {
		answered = true
		sim.recordAnswer(c, command.(pimcore.AnswerRequest).Answer)
	})
	ttl := max(c.deadline-sim.now, 100*time.Millisecond)
	sim.after(0, func() {
		sim.handle(sim.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
			Token: token, RequestID: c.id, Service: c.service, Idempotent: c.idempotent, TTL: ttl,
			Payload: []byte(c.id), Digest: c.id + c.digestSuffix, Team: c.team, Priority: c.priority,
		}})
	})
	sim.after(ttl+500*time.Millisecond, func() {
		if !answered {
			delete(sim.replyHandlers, token)
			sim.retryRequest(c)
		}
	})
}

// recordAnswer records the answer to a request, or repeats the request up to 20 times while its
// outcome can still become known.
func (sim *simulation) recordAnswer(c *callerRequest, answer pimrequest.Answer) {
	if answer.Outcome == pimrequest.OutcomeRan && string(answer.Payload) != c.id {
		sim.observed.addViolation("request %s got the answer %q", c.id, answer.Payload)
	}
	unresolved := answer.Code == pimcode.InProgress || answer.Code == pimcode.HomeUnreachable
	if unresolved && c.retries < 20 {
		sim.retryRequest(c)
		return
	}
	sim.observed.answers[c.id] = answer
}

func (sim *simulation) retryRequest(c *callerRequest) {
	c.retries++
	sim.after(100*time.Millisecond, func() { sim.request(c) })
}

// startCallers sends requests at an interval for a span, half of them idempotent, with homes in
// all failure domains. It returns their number.
func (sim *simulation) startCallers(service string, interval, span time.Duration) int {
	count := int(span / interval)
	for i := range count {
		domain := []string{"north", "south", "west"}[i%3]
		sim.after(time.Duration(i)*interval, func() {
			sim.request(&callerRequest{
				id: fmt.Sprintf("%s.%d", domain, i), service: service, idempotent: i%2 == 0,
				deadline: sim.now + 3*time.Second, team: "dispatch", priority: 9,
			})
		})
	}
	return count
}

// requestThrough sends a request through the given host and waits for its answer.
func (sim *simulation) requestThrough(name, id string, idempotent bool) pimrequest.Answer {
	sim.t.Helper()
	var answer *pimrequest.Answer
	token := sim.newReplyToken(func(command pimcore.Command) {
		got := command.(pimcore.AnswerRequest).Answer
		answer = &got
		sim.observed.answers[id] = got
	})
	sim.handle(sim.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
		Token: token, RequestID: id, Service: "callout", Idempotent: idempotent, TTL: 3 * time.Second,
		Payload: []byte(id), Digest: id,
	}})
	sim.runUntil("an answer to "+id, 4*time.Second, func() bool { return answer != nil })
	return *answer
}

// sendThrough sends requests through the given host, all at the same time, and returns their ids.
func (sim *simulation) sendThrough(service, name string, count int) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s.%s-%d", sim.hosts[name].domain, name, i)
		ids = append(ids, id)
		token := sim.newReplyToken(func(command pimcore.Command) {
			sim.observed.answers[id] = command.(pimcore.AnswerRequest).Answer
		})
		sim.handle(sim.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
			Token: token, RequestID: id, Service: service, Idempotent: i%2 == 0, TTL: 3 * time.Second,
			Payload: []byte(id), Digest: id,
		}})
	}
	return ids
}

// countRan returns how many of the requests were answered with the outcome ran.
func (sim *simulation) countRan(ids []string) int {
	count := 0
	for _, id := range ids {
		if sim.observed.answers[id].Outcome == pimrequest.OutcomeRan {
			count++
		}
	}
	return count
}
