package pimcore

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

// onRequest routes a caller's request, or refuses it.
func (n *Node) onRequest(e RequestReceived) {
	request := e.Request
	if service, ok := n.state.Manifest.ServiceNamed(request.Service); ok && e.IdempotencyFromManifest {
		request.Idempotent = service.Idempotent
	}
	if code := n.refusalCode(request); code != pimcode.OK {
		n.refuseRequest(request, code)
		return
	}
	domains := n.servingDomains()
	if code := n.assignHome(&request, domains); code != pimcode.OK {
		n.refuseRequest(request, code)
		return
	}
	request.Weight = n.state.Manifest.TeamNamed(request.Team).Weight
	n.router.Start(n.now, request, domains)
}

// refusalCode returns why this daemon refuses a request, or OK.
func (n *Node) refusalCode(request pimrequest.Request) pimcode.Code {
	switch {
	case n.draining:
		return pimcode.Draining
	case len(n.state.Members) == 0 || !n.hasSeenCurrentConfig():
		return pimcode.NoLeader
	case n.config.RefuseWhenCutOff && !n.HasConfigLease():
		return pimcode.DomainOutOfService
	case request.TTL <= 0 || request.TTL > pimrequest.MaxTTL:
		return pimcode.DeadlineMissing
	case n.router.Len() >= maxActiveRequests:
		return pimcode.Overloaded
	default:
		return pimcode.OK
	}
}

// refuseRequest answers a request that this daemon does not route. A non-idempotent request
// with an id chosen by the caller may have run in an earlier attempt, which only the journal
// records, so its outcome is unknown. With an id that no daemon accepts
// (RequestIDWithoutHome) it can't have run.
func (n *Node) refuseRequest(request pimrequest.Request, code pimcode.Code) {
	outcome := pimrequest.OutcomeNotRun
	if request.RequestID != "" && !request.Idempotent && code != pimcode.RequestIDWithoutHome {
		outcome = pimrequest.OutcomeUnknown
	}
	n.emit(AnswerRequest{Token: request.Token, Answer: pimrequest.Answer{
		RequestID: request.RequestID, Outcome: outcome, Code: code, RetryAfter: GossipInterval,
	}})
}

// assignHome sets the home of a request, the failure domain whose journal records it. A
// caller's id starts with its home. A request without an id gets one, with a home that has
// a known leader if possible, so that the journal can be reached.
func (n *Node) assignHome(request *pimrequest.Request, domains []string) pimcode.Code {
	if request.RequestID != "" {
		request.CallerSuppliedID = true
		home, _, _ := strings.Cut(request.RequestID, ".")
		request.Home = home
		if !request.Idempotent && !slices.Contains(n.state.Domains(), home) {
			return pimcode.RequestIDWithoutHome
		}
		return pimcode.OK
	}
	request.Home = n.config.Member.Domain
	if len(domains) > 0 && n.leaderOf(DomainGroup(request.Home)).ID == "" {
		request.Home = domains[0]
	}
	n.lastRequestNumber++
	request.RequestID = fmt.Sprintf("%s.%s-%x-%d",
		request.Home, n.config.Member.Name, n.config.BootID, n.lastRequestNumber)
	return pimcode.OK
}

// servingDomains returns the failure domains that are in service and have a known leader,
// this daemon's own first. If there are none, it returns only its own, if that is in service.
func (n *Node) servingDomains() []string {
	var domains []string
	all := n.state.Domains()
	own := slices.Index(all, n.config.Member.Domain)
	for i := range all {
		domain := all[(max(own, 0)+i)%len(all)]
		if !n.state.IsOutOfService(domain) && n.leaderOf(DomainGroup(domain)).ID != "" {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 && !n.state.IsOutOfService(n.config.Member.Domain) {
		domains = append(domains, n.config.Member.Domain)
	}
	return domains
}

// processRouterActions executes the actions of the router and reports whether there were any.
func (n *Node) processRouterActions() bool {
	actions := n.router.Take()
	for _, action := range actions {
		switch a := action.(type) {
		case pimrequest.BeginJournal:
			n.startCall(
				DomainGroup(a.Domain), pimmessage.BeginRequest{Command: a.Begin}, a.TTL, journalOrigin{pendingID: a.PendingID},
			)
		case pimrequest.EndJournal:
			n.startCall(DomainGroup(a.Domain), pimmessage.EndRequest{Command: a.End}, endRequestTTL, noOrigin{})
		case pimrequest.AcquireSlot:
			call := pimmessage.AcquireSlot{Holder: n.config.Member.ID, Acquire: a.Acquire}
			n.startCall(DomainGroup(a.Domain), call, a.Acquire.TTL, slotOrigin{domain: a.Domain, attempt: a.Acquire.Attempt})
		case pimrequest.ReleaseSlot:
			n.cancelSlotCall(a.Release.Attempt)
			n.startCall(DomainGroup(a.Domain), pimmessage.ReleaseSlot{Release: a.Release}, releaseSlotTTL, noOrigin{})
		case pimrequest.SendAttempt:
			n.emit(SendEndpoint{Attempt: a})
		case pimrequest.Finish:
			n.emit(AnswerRequest{Token: a.Token, Answer: a.Answer})
		case pimrequest.Decision:
			n.emit(LogRouting{Decision: a, Version: n.state.Version})
		}
	}
	return len(actions) > 0
}

// cancelSlotCall stops the AcquireSlot call of an attempt whose slot is released.
func (n *Node) cancelSlotCall(attempt string) {
	if id, ok := n.slotCallIDs[attempt]; ok {
		delete(n.calls, id)
		delete(n.slotCallIDs, attempt)
	}
}
