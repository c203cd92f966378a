// Package pimrpc defines the requests that daemons forward to the leader of the job group, and its responses.
package pimrpc

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
)

type (
	// Request is a request to the leader. All requests but Heartbeat may be repeated after a lost
	// response without further effect; a repeated Heartbeat reports an outdated clock.
	Request interface{ isRequest() }

	// Response is the leader's response to a Request.
	Response interface{ isResponse() }

	// Address is where a caller's request goes: its host and path select the queue. Key is the key that the caller
	// gave, or "".
	Address struct {
		Host string `msgpack:"h"`
		Path string `msgpack:"p"`
		Key  string `msgpack:"k,omitempty"`
	}

	// Submit submits a job to a queue.
	Submit struct {
		Address    `msgpack:",inline"`
		Submission pimjob.Submission `msgpack:"s"`
	}

	// Lookup asks for the state of the job at a host and path, or, where the path ends at a queue,
	// for the number of its jobs that have not started.
	Lookup struct {
		Address `msgpack:",inline"`
	}

	// Cancel cancels the job at a host and path.
	Cancel struct {
		Address `msgpack:",inline"`
	}

	// Heartbeat is the periodic report of a worker on itself.
	Heartbeat struct {
		Worker pimjob.Worker `msgpack:"w"`
		// Clock is the worker's monotonic clock.
		Clock time.Duration `msgpack:"c"`
		// Sequence rises with each heartbeat of a generation.
		Sequence int64 `msgpack:"s"`
		// StaysFor is the minimum time for which a draining worker remains available, or 0 if it
		// doesn't say.
		StaysFor time.Duration `msgpack:"l,omitempty"`
	}

	// Leave reports that a worker generation ends. Generation 0 means the current one.
	Leave struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
	}

	// PutConfig stores a validated configuration. A version that is not newer than the current one is ignored.
	PutConfig struct {
		Config pimjob.Config `msgpack:"c"`
	}

	// GetConfig asks for the configuration in effect.
	GetConfig struct{}

	// MarkDomain takes a failure domain out of service or puts it back, unless the number of marks on it is no longer
	// After. Forwarder.MarkDomain asks for that number.
	MarkDomain struct {
		Domain       string `msgpack:"d"`
		OutOfService bool   `msgpack:"o"`
		After        int64  `msgpack:"n"`
	}

	// CountMarks asks for the number of marks on a failure domain.
	CountMarks struct {
		Domain string `msgpack:"d"`
	}

	// Done means that the request was executed and its effect is committed.
	Done struct{}

	// JobState is the state of a job.
	JobState struct {
		State pimjob.JobState `msgpack:"s"`
	}

	// Pending is the number of jobs of a queue that have not started.
	Pending struct {
		Count int `msgpack:"c"`
	}

	// MarkCount is the number of marks on a failure domain.
	MarkCount struct {
		Count int64 `msgpack:"c"`
	}

	// ConfigText is a configuration in the form in which it was submitted.
	ConfigText struct {
		Text []byte `msgpack:"t"`
	}

	// Rejected means that the request was not executed and will not be.
	Rejected struct {
		Code   pimcode.Code `msgpack:"c"`
		Detail string       `msgpack:"d"`
		// RetryAfter is when a new attempt may succeed; 0 means unknown.
		RetryAfter time.Duration `msgpack:"r,omitempty"`
	}

	// NotLeader means that the request was not executed, since the responding daemon doesn't lead.
	NotLeader struct {
		// Leader is the member ID of the leader, or "" if the daemon knows none.
		Leader string `msgpack:"l"`
	}

	// OutcomeUnknown means that the request may or may not have been executed. It is to be repeated.
	OutcomeUnknown struct{}

	// Repeat means that the request had no effect, as the state has changed while it was handled. It is to be repeated.
	Repeat struct{}
)

var codec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "submit", Zero: Submit{}},
	{Name: "lookup", Zero: Lookup{}},
	{Name: "cancel", Zero: Cancel{}},
	{Name: "beat", Zero: Heartbeat{}},
	{Name: "leave", Zero: Leave{}},
	{Name: "put-config", Zero: PutConfig{}},
	{Name: "get-config", Zero: GetConfig{}},
	{Name: "mark-domain", Zero: MarkDomain{}},
	{Name: "count-marks", Zero: CountMarks{}},
	{Name: "done", Zero: Done{}},
	{Name: "job-state", Zero: JobState{}},
	{Name: "pending", Zero: Pending{}},
	{Name: "mark-count", Zero: MarkCount{}},
	{Name: "config-text", Zero: ConfigText{}},
	{Name: "refused", Zero: Rejected{}},
	{Name: "not-leader", Zero: NotLeader{}},
	{Name: "unclear", Zero: OutcomeUnknown{}},
	{Name: "repeat", Zero: Repeat{}},
})

func (Submit) isRequest()     {}
func (Lookup) isRequest()     {}
func (Cancel) isRequest()     {}
func (Heartbeat) isRequest()  {}
func (Leave) isRequest()      {}
func (PutConfig) isRequest()  {}
func (GetConfig) isRequest()  {}
func (MarkDomain) isRequest() {}
func (CountMarks) isRequest() {}

func (Done) isResponse()           {}
func (JobState) isResponse()       {}
func (Pending) isResponse()        {}
func (MarkCount) isResponse()      {}
func (ConfigText) isResponse()     {}
func (Rejected) isResponse()       {}
func (NotLeader) isResponse()      {}
func (OutcomeUnknown) isResponse() {}
func (Repeat) isResponse()         {}

// IsRead reports whether a request has no effect.
func IsRead(request Request) bool {
	switch request.(type) {
	case Lookup, GetConfig, CountMarks:
		return true
	default:
		return false
	}
}

// Encode returns the encoding of a Request or Response.
func Encode(value any) ([]byte, error) { return codec.Encode(value) }

// DecodeRequest decodes a Request. Anything else gives an UnknownMessage error or an error of the codec.
func DecodeRequest(data []byte) (Request, error) {
	value, err := codec.Decode(data)
	if err != nil {
		return nil, err
	}
	request, ok := value.(Request)
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "%T is not a request", value)
	}
	return request, nil
}

// DecodeResponse decodes a Response. Anything else gives an UnknownMessage error or an error of the codec.
func DecodeResponse(data []byte) (Response, error) {
	value, err := codec.Decode(data)
	if err != nil {
		return nil, err
	}
	response, ok := value.(Response)
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "%T is not a response", value)
	}
	return response, nil
}
