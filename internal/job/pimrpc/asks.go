// Package pimrpc holds the questions that daemons pass on to the leader of the jobs,
// and its answers.
package pimrpc

import (
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
)

type (
	// Request is a question to the leader. All but Beat may be asked again after a lost answer.
	Request interface{ isRequest() }

	// Response is the leader's answer.
	Response interface{ isResponse() }

	// Submit hands in a job at the queue that a caller's address leads to.
	Submit struct {
		Host       string            `msgpack:"h"`
		Path       string            `msgpack:"p"`
		Submission pimjob.Submission `msgpack:"s"`
	}

	// Lookup asks for the state of the job, or for the count of jobs that have not
	// started where the address names no job.
	Lookup struct {
		Host string `msgpack:"h"`
		Path string `msgpack:"p"`
	}

	// Cancel ends a job.
	Cancel struct {
		Host string `msgpack:"h"`
		Path string `msgpack:"p"`
	}

	// Heartbeat is what a worker says of itself. Clock is its own steady clock; Sequence rises
	// with each beat of a life.
	Heartbeat struct {
		Worker   pimjob.Worker `msgpack:"w"`
		Clock    time.Duration `msgpack:"c"`
		Sequence int64         `msgpack:"s"`
		// StaysFor is the least time that a draining worker stays.
		StaysFor time.Duration `msgpack:"l,omitempty"`
	}

	// Leave tells that a worker ends. Born 0 is its present life.
	Leave struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
	}

	// PutConfig hands in a configuration that has been checked.
	PutConfig struct {
		Config pimjob.Config `msgpack:"c"`
	}

	// GetConfig asks for the configuration in force.
	GetConfig struct{}

	// MarkDomain takes a failure domain out of service or back in.
	MarkDomain struct {
		Domain string `msgpack:"d"`
		Out    bool   `msgpack:"o"`
	}

	// Done tells that the ask is carried out and stored.
	Done struct{}

	// JobState is the state of a job.
	JobState struct {
		State pimjob.JobState `msgpack:"s"`
	}

	// Pending is the count of jobs of a queue that have not started.
	Pending struct {
		Count int `msgpack:"c"`
	}

	// ConfigText is a configuration as it was handed in.
	ConfigText struct {
		Text []byte `msgpack:"t"`
	}

	// Rejected tells that the ask was not and will not be carried out.
	Rejected struct {
		Code       pimcode.Code  `msgpack:"c"`
		Detail     string        `msgpack:"d"`
		RetryAfter time.Duration `msgpack:"r,omitempty"`
	}

	// NotLeader tells that the ask was not carried out here.
	NotLeader struct {
		Leader string `msgpack:"l"`
	}

	// OutcomeUnknown tells that the ask may or may not have been carried out; ask again.
	OutcomeUnknown struct{}
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
	{Name: "done", Zero: Done{}},
	{Name: "job-state", Zero: JobState{}},
	{Name: "pending", Zero: Pending{}},
	{Name: "config-text", Zero: ConfigText{}},
	{Name: "refused", Zero: Rejected{}},
	{Name: "not-leader", Zero: NotLeader{}},
	{Name: "unclear", Zero: OutcomeUnknown{}},
})

func (Submit) isRequest()     {}
func (Lookup) isRequest()     {}
func (Cancel) isRequest()     {}
func (Heartbeat) isRequest()  {}
func (Leave) isRequest()      {}
func (PutConfig) isRequest()  {}
func (GetConfig) isRequest()  {}
func (MarkDomain) isRequest() {}

func (Done) isResponse()           {}
func (JobState) isResponse()       {}
func (Pending) isResponse()        {}
func (ConfigText) isResponse()     {}
func (Rejected) isResponse()       {}
func (NotLeader) isResponse()      {}
func (OutcomeUnknown) isResponse() {}

// Encode returns the bytes of an ask or answer.
func Encode(value any) ([]byte, error) { return codec.Encode(value) }

// DecodeRequest reads an ask.
func DecodeRequest(data []byte) (Request, error) {
	value, err := codec.Decode(data)
	if err != nil {
		return nil, err
	}
	ask, ok := value.(Request)
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "%T is no ask", value)
	}
	return ask, nil
}

// DecodeResponse reads an answer.
func DecodeResponse(data []byte) (Response, error) {
	value, err := codec.Decode(data)
	if err != nil {
		return nil, err
	}
	answer, ok := value.(Response)
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "%T is no answer", value)
	}
	return answer, nil
}
