package pimcore_test

import (
	"fmt"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

// callerRequest is a caller that comes back until it knows what happened.
type callerRequest struct {
	id         string
	service    string
	idempotent bool
	deadline   time.Duration
	digest     string
	tries      int
	team       string
	priority   int
}

// request sends a caller's request through a random living host.
func (w *world) request(c *callerRequest) {
	hosts := w.living("")
	if len(hosts) == 0 {
		w.comeBack(c)
		return
	}
	name := hosts[w.random.IntN(len(hosts))]
	answered := false
	token := w.token(func(command pimcore.Command) {
		answered = true
		w.takeAnswer(c, command.(pimcore.AnswerRequest).Answer)
	})
	ttl := max(c.deadline-w.now, 100*time.Millisecond)
	w.after(0, func() {
		w.handle(w.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
			Token: token, RequestID: c.id, Service: c.service, Idempotent: c.idempotent, TTL: ttl, Payload: []byte(c.id), Digest: c.id + c.digest, Team: c.team, Priority: c.priority,
		}})
	})
	w.after(ttl+500*time.Millisecond, func() {
		if !answered {
			delete(w.tokens, token)
			w.comeBack(c)
		}
	})
}

func (w *world) takeAnswer(c *callerRequest, answer pimrequest.Answer) {
	if answer.Outcome == pimrequest.OutcomeRan && string(answer.Payload) != c.id {
		w.record.violate("request %s got the answer %q", c.id, answer.Payload)
	}
	open := answer.Code == pimcode.InProgress || answer.Code == pimcode.HomeUnreachable
	if open && c.tries < 20 {
		w.comeBack(c)
		return
	}
	w.record.answers[c.id] = answer
}

func (w *world) comeBack(c *callerRequest) {
	c.tries++
	w.after(100*time.Millisecond, func() { w.request(c) })
}

// callers sends requests at an interval for a span, half of them idempotent.
func (w *world) callers(service string, interval, span time.Duration) int {
	count := int(span / interval)
	for i := range count {
		domain := []string{"north", "south", "west"}[i%3]
		w.after(time.Duration(i)*interval, func() {
			w.request(&callerRequest{
				id: fmt.Sprintf("%s.%d", domain, i), service: service, idempotent: i%2 == 0, deadline: w.now + 3*time.Second, team: "dispatch", priority: 9,
			})
		})
	}
	return count
}

// ask sends one request through a host and waits for its answer.
func (w *world) ask(name, id string, idempotent bool) pimrequest.Answer {
	w.t.Helper()
	var answer *pimrequest.Answer
	token := w.token(func(command pimcore.Command) {
		got := command.(pimcore.AnswerRequest).Answer
		answer = &got
		w.record.answers[id] = got
	})
	w.handle(w.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
		Token: token, RequestID: id, Service: "callout", Idempotent: idempotent, TTL: 3 * time.Second, Payload: []byte(id), Digest: id,
	}})
	w.runUntil("an answer to "+id, 4*time.Second, func() bool { return answer != nil })
	return *answer
}

// callersOnly sends requests through one host at once and returns their ids.
func (w *world) callersOnly(service, name string, count int) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s.%s-%d", w.hosts[name].domain, name, i)
		ids = append(ids, id)
		token := w.token(func(command pimcore.Command) { w.record.answers[id] = command.(pimcore.AnswerRequest).Answer })
		w.handle(w.hosts[name], pimcore.RequestReceived{Request: pimrequest.Request{
			Token: token, RequestID: id, Service: service, Idempotent: i%2 == 0, TTL: 3 * time.Second, Payload: []byte(id), Digest: id,
		}})
	}
	return ids
}

func (w *world) answered(ids []string) int {
	count := 0
	for _, id := range ids {
		if w.record.answers[id].Outcome == pimrequest.OutcomeRan {
			count++
		}
	}
	return count
}
