package pimdaemon

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/place/pimplace"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimslot"
)

type (
	// AnnounceResponse gives an endpoint its next token and the interval of its announcements.
	AnnounceResponse struct {
		Token          pimslot.Token `json:"token"`
		IntervalMillis int64         `json:"interval-millis"`
	}

	// WorkerResponse gives a worker its report interval and the duration of its lease.
	WorkerResponse struct {
		IntervalMillis int64 `json:"interval-millis"`
		LeaseMillis    int64 `json:"lease-millis"`
	}
)

const (
	maxTasksPerReport = 10_000
	maxInProgress     = 10_000
)

// callLeader sends a call to the leader of a group. On a failure it writes the response and returns false.
func (s *httpServer) callLeader(
	ctx *fasthttp.RequestCtx, group string, call pimmessage.Call, ttl time.Duration,
) (pimmessage.Reply, bool) {
	answer, ok := s.daemon.callCore(ttl+replyGrace, func(token uint64) pimcore.Event {
		return pimcore.CallReceived{Token: token, Group: group, Call: call, TTL: ttl}
	}).(pimcore.AnswerCall)
	if !ok {
		writeCode(ctx, pimcode.CallTimeout, group)
		return nil, false
	}
	if answer.Code != pimcode.OK {
		writeCode(ctx, answer.Code, answer.Detail)
		return nil, false
	}
	return answer.Reply, true
}

func (s *httpServer) postEndpoint(ctx *fasthttp.RequestCtx, _ string) {
	var announcement pimslot.Announcement
	if !s.readJSONPooled(ctx, &announcement) {
		return
	}
	if detail := checkAnnouncement(announcement); detail != "" {
		writeCode(ctx, pimcode.BadRequest, detail)
		return
	}
	group := pimcore.DomainGroup(announcement.Domain)
	reply, ok := s.callLeader(ctx, group, pimmessage.Announce{Announcement: announcement}, reportTimeout)
	if !ok {
		return
	}
	announced, _ := reply.(pimmessage.Announced)
	writeJSON(ctx, fasthttp.StatusOK, AnnounceResponse{
		Token: announced.Token, IntervalMillis: pimslot.AnnounceInterval.Milliseconds(),
	})
}

func checkAnnouncement(a pimslot.Announcement) string {
	_, _, err := net.SplitHostPort(a.Address)
	switch {
	case a.ID == "" || len(a.ID) > maxIDBytes:
		return "id: must have 1 to 200 bytes"
	case a.Service == "" || len(a.Service) > maxIDBytes:
		return "service: must have 1 to 200 bytes"
	case a.Domain == "" || len(a.Domain) > maxIDBytes:
		return "failure-domain: must have 1 to 200 bytes"
	case err != nil:
		return "address: must be an IP address and a port"
	case len(a.InProgress) > maxInProgress:
		return "in-progress: must have at most 10000 entries"
	default:
		return ""
	}
}

func (s *httpServer) postWorker(ctx *fasthttp.RequestCtx, _ string) {
	var report pimplace.Report
	if !s.readJSONPooled(ctx, &report) {
		return
	}
	if detail := checkReport(report); detail != "" {
		writeCode(ctx, pimcode.BadRequest, detail)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, WorkerResponse{
		IntervalMillis: pimplace.ReportInterval.Milliseconds(),
		LeaseMillis:    pimplace.WorkerLease.Milliseconds(),
	})
}

func (s *httpServer) postReport(ctx *fasthttp.RequestCtx, worker string) {
	var report pimplace.Report
	if !s.readJSONPooled(ctx, &report) {
		return
	}
	if report.Worker == "" {
		report.Worker = worker
	}
	detail := checkReport(report)
	if report.Worker != worker {
		detail = "worker: must be the one in the path"
	}
	if detail != "" {
		writeCode(ctx, pimcode.BadRequest, detail)
		return
	}
	group := pimcore.DomainGroup(report.Domain)
	reply, ok := s.callLeader(ctx, group, pimmessage.ReportWorker{Report: report}, reportTimeout)
	if !ok {
		return
	}
	reported, _ := reply.(pimmessage.Reported)
	writeJSON(ctx, fasthttp.StatusOK, reported.Answer)
}

func checkReport(report pimplace.Report) string {
	switch {
	case report.Worker == "" || len(report.Worker) > maxIDBytes:
		return "worker: must have 1 to 200 bytes"
	case report.Domain == "" || len(report.Domain) > maxIDBytes:
		return "failure-domain: must have 1 to 200 bytes"
	case report.AgeMillis < 0:
		return "age-millis: must not be negative"
	case report.Capacity.CPUMillis < 0 || report.Capacity.MemoryMB < 0 || report.Capacity.Accelerators < 0:
		return "capacity: must not be negative"
	case len(report.Tasks) > maxTasksPerReport:
		return "tasks: must have at most 10000 entries"
	default:
		return ""
	}
}
