package pimdaemon

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/route/pimrequest"
)

type (
	// RequestBody is the JSON body of a caller's request. If Idempotent is missing, the manifest decides.
	RequestBody struct {
		RequestID      string          `json:"request-id,omitempty"`
		Idempotent     *bool           `json:"idempotent,omitempty"`
		DeadlineMillis int64           `json:"deadline-millis"`
		Priority       int             `json:"priority,omitempty"`
		Team           string          `json:"team,omitempty"`
		Payload        json.RawMessage `json:"payload,omitempty"`
	}

	// ResponseBody is the JSON body of the response to a caller. Outcome is ran, not-run or unknown. A payload that is not
	// valid JSON is in PayloadBytes.
	ResponseBody struct {
		RequestID        string          `json:"request-id"`
		Outcome          string          `json:"outcome"`
		Code             int             `json:"code"`
		Name             string          `json:"name"`
		Endpoint         string          `json:"endpoint,omitempty"`
		Attempts         int             `json:"attempts"`
		RetryAfterMillis int64           `json:"retry-after-millis,omitempty"`
		Payload          json.RawMessage `json:"payload,omitempty"`
		PayloadBytes     []byte          `json:"payload-bytes,omitempty"`
	}
)

const (
	maxIDBytes  = 200
	maxPriority = 9
	// replyGrace is how long a handler waits after the deadline, so that the core can report that the deadline passed.
	replyGrace = 2 * time.Second
)

func (s *httpServer) postRequest(ctx *fasthttp.RequestCtx, service string) {
	var body RequestBody
	if !readJSON(ctx, &body) {
		return
	}
	if code, detail := checkRequest(body); code != pimcode.OK {
		writeCode(ctx, code, detail)
		return
	}
	ttl := time.Duration(body.DeadlineMillis) * time.Millisecond
	digest := sha256.Sum256(append([]byte(service+"\n"), body.Payload...))
	request := pimrequest.Request{
		RequestID:  body.RequestID,
		Service:    service,
		Team:       body.Team,
		Priority:   body.Priority,
		Idempotent: body.Idempotent != nil && *body.Idempotent,
		TTL:        ttl,
		Payload:    append([]byte(nil), body.Payload...),
		Digest:     hex.EncodeToString(digest[:16]),
	}
	answer, ok := s.daemon.callCore(ttl+replyGrace, func(token uint64) pimcore.Event {
		request.Token = token
		return pimcore.RequestReceived{Request: request, IdempotencyFromManifest: body.Idempotent == nil}
	}).(pimrequest.Answer)
	if !ok {
		answer = pimrequest.Answer{
			RequestID: body.RequestID, Outcome: pimrequest.OutcomeUnknown, Code: pimcode.OutcomeUnknown,
		}
	}
	writeResponse(ctx, answer)
}

func checkRequest(body RequestBody) (pimcode.Code, string) {
	switch {
	case body.DeadlineMillis <= 0 || body.DeadlineMillis > pimrequest.MaxTTL.Milliseconds():
		return pimcode.DeadlineMissing, "deadline-millis: must be 1 to 600000"
	case len(body.RequestID) > maxIDBytes:
		return pimcode.BadRequest, "request-id: must have at most 200 bytes"
	case len(body.Team) > maxIDBytes:
		return pimcode.BadRequest, "team: must have at most 200 bytes"
	case body.Priority < 0 || body.Priority > maxPriority:
		return pimcode.BadRequest, "priority: must be 0 to 9"
	default:
		return pimcode.OK, ""
	}
}

func writeResponse(ctx *fasthttp.RequestCtx, answer pimrequest.Answer) {
	row := pimcode.Lookup(answer.Code)
	body := ResponseBody{
		RequestID:        answer.RequestID,
		Outcome:          string(answer.Outcome),
		Code:             int(answer.Code),
		Name:             row.Name,
		Endpoint:         answer.Endpoint,
		Attempts:         answer.Attempts,
		RetryAfterMillis: answer.RetryAfter.Milliseconds(),
	}
	if json.Valid(answer.Payload) {
		body.Payload = answer.Payload
	} else {
		body.PayloadBytes = answer.Payload
	}
	writeJSON(ctx, row.HTTPStatus, body)
}
