package pimdaemon

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
)

type (
	// ChangeResponse is the response to an operator's change. Accepted means committed and durable; GET /v1/force reports
	// when the version is in effect on every daemon.
	ChangeResponse struct {
		Accepted bool   `json:"accepted"`
		Number   uint64 `json:"number"`
		Digest   string `json:"digest,omitempty"`
		Version  uint64 `json:"version"`
	}

	// MarkBody is an operator's mark on a failure domain: state "out" or "in". A repeated mark with the same number and
	// state is the same change; number 0 takes the next number.
	MarkBody struct {
		State  string `json:"state"`
		Number uint64 `json:"number,omitempty"`
	}

	// StatusBody is the response of GET /v1/status. Tables holds one entry for each failure domain, if requested.
	StatusBody struct {
		pimcore.Status
		Tables map[string]pimmessage.DomainTables `json:"tables,omitempty"`
	}
)

func (s *httpServer) putManifest(ctx *fasthttp.RequestCtx, _ string) {
	base := uint64(0)
	if text := string(ctx.QueryArgs().Peek("base")); text != "" {
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeCode(ctx, pimcode.BadRequest, "base: "+text+": must be a number")
			return
		}
		base = value
	}
	content := append([]byte(nil), ctx.PostBody()...)
	call := pimmessage.CommitManifest{Command: pimconfig.CommitManifest{Base: base, Content: content}}
	s.submitChange(ctx, call)
}

// submitChange sends an operator's change to the leader of the configuration group and writes the response.
func (s *httpServer) submitChange(ctx *fasthttp.RequestCtx, call pimmessage.Call) {
	reply, ok := s.callLeader(ctx, pimcore.ConfigGroup, call, operatorTimeout)
	if !ok {
		return
	}
	response, _ := reply.(pimmessage.Configured)
	result := response.Result
	if result.Code != pimcode.OK {
		row := pimcode.Lookup(result.Code)
		body := ErrorBody{Code: int(result.Code), Name: row.Name, Detail: result.Detail}
		if len(response.Faults) > 0 {
			body.Faults = response.Faults
		}
		writeJSON(ctx, row.HTTPStatus, body)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ChangeResponse{
		Accepted: true, Number: result.Number, Digest: result.Digest, Version: result.Version,
	})
}

func (s *httpServer) getManifest(ctx *fasthttp.RequestCtx, _ string) {
	status, ok := s.status(ctx)
	if !ok {
		return
	}
	if status.Manifest.Number == 0 {
		writeCode(ctx, pimcode.ManifestMissing, "")
		return
	}
	ctx.Response.Header.Set("Pimentoswitch-Number", strconv.FormatUint(status.Manifest.Number, 10))
	ctx.Response.Header.Set("Pimentoswitch-Digest", status.Manifest.Digest)
	ctx.SetContentType("application/yaml")
	ctx.SetBody(status.Content)
}

func (s *httpServer) putDomain(ctx *fasthttp.RequestCtx, domain string) {
	var body MarkBody
	if !readJSON(ctx, &body) {
		return
	}
	if body.State != "out" && body.State != "in" {
		writeCode(ctx, pimcode.BadRequest, "state: must be out or in")
		return
	}
	s.submitChange(ctx, pimmessage.MarkDomain{Command: pimconfig.MarkDomain{
		Domain: domain, OutOfService: body.State == "out", Number: body.Number,
	}})
}

func (s *httpServer) getDomains(ctx *fasthttp.RequestCtx, _ string) {
	if status, ok := s.status(ctx); ok {
		writeJSON(ctx, fasthttp.StatusOK, status.Domains)
	}
}

func (s *httpServer) getDomain(ctx *fasthttp.RequestCtx, domain string) {
	reply, ok := s.callLeader(ctx, pimcore.DomainGroup(domain), pimmessage.QueryDomain{}, reportTimeout)
	if ok {
		writeJSON(ctx, fasthttp.StatusOK, reply)
	}
}

func (s *httpServer) getVersionStatus(ctx *fasthttp.RequestCtx, _ string) {
	text := string(ctx.QueryArgs().Peek("version"))
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeCode(ctx, pimcode.BadRequest, "version: "+text+": must be a number")
		return
	}
	reply, ok := s.callLeader(ctx, pimcore.ConfigGroup, pimmessage.QueryVersionStatus{Version: version}, reportTimeout)
	if ok {
		writeJSON(ctx, fasthttp.StatusOK, reply)
	}
}

func (s *httpServer) getStatus(ctx *fasthttp.RequestCtx, _ string) {
	status, ok := s.status(ctx)
	if !ok {
		return
	}
	body := StatusBody{Status: status}
	if ctx.QueryArgs().Has("tables") {
		body.Tables = s.queryDomainTables(status)
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

// queryDomainTables queries the leader of each failure domain. Domains whose leader doesn't respond are left out.
func (s *httpServer) queryDomainTables(status pimcore.Status) map[string]pimmessage.DomainTables {
	tables := map[string]pimmessage.DomainTables{}
	for _, domain := range status.Domains {
		answer, _ := s.daemon.callCore(reportTimeout, func(token uint64) pimcore.Event {
			return pimcore.CallReceived{Token: token, Group: pimcore.DomainGroup(domain.ID), Call: pimmessage.QueryDomain{}, TTL: reportTimeout}
		}).(pimcore.AnswerCall)
		if domainTables, ok := answer.Reply.(pimmessage.DomainTables); ok {
			tables[domain.ID] = domainTables
		}
	}
	return tables
}
