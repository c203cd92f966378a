package pimrelay

import (
	"bytes"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// encoder writes msgpack values one after another, without field names: results of renewals are the main traffic
	// between control daemons. It keeps the first error.
	encoder struct {
		*msgpack.Encoder
		err error
	}

	// decoder reads what an encoder wrote. It keeps the first error, after which it returns zero values.
	decoder struct {
		*msgpack.Decoder
		err error
	}
)

// Kinds of encoded calls. The numbers are sent between daemons and must not change.
const (
	kindRenewLease = iota + 1
	kindStartRun
	kindStopRun
	kindThrottleRun
)

// minRowBytes is the least size of an encoded row of a list of runs. It bounds what is allocated for a length that a
// message claims.
const minRowBytes = 7

// EncodeCall encodes a call.
func EncodeCall(call pimfleet.Call) ([]byte, error) {
	return encode(func(e *encoder) {
		switch call := call.(type) {
		case pimfleet.RenewLease:
			e.header(kindRenewLease, call.Target, call.Token)
			e.ints(call.Cursor, int64(call.Deadline), int64(call.Wait), int64(call.SentAt))
		case pimfleet.StartRun:
			e.header(kindStartRun, call.Target, call.Token)
			e.run(call.Key, call.Number)
			e.strings(call.Spec, call.Checkpoint, call.Ticket)
			e.ints(int64(call.Deadline))
		case pimfleet.StopRun:
			e.header(kindStopRun, call.Target, call.Token)
			e.run(call.Key, call.Number)
		case pimfleet.ThrottleRun:
			e.header(kindThrottleRun, call.Target, call.Token)
			e.run(call.Key, call.Number)
			e.ints(int64(call.SpeedPercent))
		default:
			e.err = pimcode.New(pimcode.UnknownMessage, "type %T is no call to a worker", call)
		}
	})
}

// DecodeCall decodes a call. Malformed data gives an UnknownMessage error.
func DecodeCall(data []byte) (pimfleet.Call, error) {
	var call pimfleet.Call
	err := decode(data, func(d *decoder) {
		kind := d.int()
		target := pimfleet.Target{ID: d.string(), Generation: d.int(), Address: d.string()}
		token := d.uint()
		switch kind {
		case kindRenewLease:
			call = pimfleet.RenewLease{
				Target: target, Token: token, Cursor: d.int(), Deadline: d.duration(), Wait: d.duration(), SentAt: d.duration(),
			}
		case kindStartRun:
			call = pimfleet.StartRun{
				Target: target, Token: token, Key: d.key(), Number: int(d.int()),
				Spec: d.string(), Checkpoint: d.string(), Ticket: d.string(), Deadline: d.duration(),
			}
		case kindStopRun:
			call = pimfleet.StopRun{Target: target, Token: token, Key: d.key(), Number: int(d.int())}
		case kindThrottleRun:
			call = pimfleet.ThrottleRun{
				Target: target, Token: token, Key: d.key(), Number: int(d.int()), SpeedPercent: int(d.int()),
			}
		default:
			d.fail("call of unknown kind %d", kind)
		}
	})
	return call, err
}

// EncodeResult encodes a result without its call, which the leader holds. Each job ID is encoded once.
func EncodeResult(result pimfleet.Result) ([]byte, error) {
	jobs, numbers := jobsOf(result)
	return encode(func(e *encoder) {
		e.ints(int64(result.Outcome), int64(result.Reason), int64(result.Clock), result.Generation, int64(len(jobs)))
		e.strings(jobs...)
		e.ints(int64(len(result.Running)))
		for _, run := range result.Running {
			e.keyOf(numbers, run.Key)
			e.ints(int64(run.Number), int64(run.ProgressPercent))
			e.strings(run.Checkpoint)
			e.float(run.Metric)
		}
		e.ints(int64(len(result.Ended)))
		for _, end := range result.Ended {
			e.keyOf(numbers, end.Key)
			e.ints(int64(end.Number), end.Sequence, int64(end.EndKind))
			e.strings(end.Checkpoint)
		}
		e.note(e.EncodeBool(result.Incomplete))
	})
}

// DecodeResult decodes the result of a call. Malformed data gives an UnknownMessage error.
func DecodeResult(data []byte, call pimfleet.Call) (pimfleet.Result, error) {
	result := pimfleet.Result{Call: call}
	err := decode(data, func(d *decoder) {
		result.Outcome = pimfleet.Outcome(d.enum(int64(pimfleet.OutcomeNotSent)))
		result.Reason = pimfleet.Reason(d.enum(int64(pimfleet.ReasonInvalidRequest)))
		result.Clock, result.Generation = d.duration(), d.int()
		jobs := make([]string, d.length(len(data)))
		for i := range jobs {
			jobs[i] = d.string()
		}
		if n := d.length(len(data) / minRowBytes); n > 0 {
			result.Running = make([]pimfleet.RunStatus, n)
		}
		for i := range result.Running {
			result.Running[i] = pimfleet.RunStatus{
				Key: d.keyOf(jobs), Number: int(d.int()), ProgressPercent: int(d.int()), Checkpoint: d.string(), Metric: d.float(),
			}
		}
		if n := d.length(len(data) / minRowBytes); n > 0 {
			result.Ended = make([]pimfleet.EndedRun, n)
		}
		for i := range result.Ended {
			result.Ended[i] = pimfleet.EndedRun{
				Key: d.keyOf(jobs), Number: int(d.int()), Sequence: d.int(),
				EndKind: pimjob.EndKind(d.enum(int64(pimjob.EndLost))), Checkpoint: d.string(),
			}
		}
		result.Incomplete = d.bool()
	})
	return result, err
}

// jobsOf returns the jobs of a result in the order of their first run, and the position of each.
func jobsOf(result pimfleet.Result) ([]string, map[string]int64) {
	var jobs []string
	numbers := map[string]int64{}
	add := func(job string) {
		if _, ok := numbers[job]; !ok {
			numbers[job] = int64(len(jobs))
			jobs = append(jobs, job)
		}
	}
	for _, run := range result.Running {
		add(run.Key.Job)
	}
	for _, end := range result.Ended {
		add(end.Key.Job)
	}
	return jobs, numbers
}

func encode(write func(e *encoder)) ([]byte, error) {
	var buffer bytes.Buffer
	e := &encoder{Encoder: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(e.Encoder)
	e.Reset(&buffer)
	write(e)
	return buffer.Bytes(), e.err
}

func decode(data []byte, read func(d *decoder)) error {
	d := &decoder{Decoder: msgpack.GetDecoder()}
	defer msgpack.PutDecoder(d.Decoder)
	d.Reset(bytes.NewReader(data))
	read(d)
	return d.err
}

func (e *encoder) note(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) header(kind int64, target pimfleet.Target, token uint64) {
	e.ints(kind)
	e.strings(target.ID)
	e.ints(target.Generation)
	e.strings(target.Address)
	e.note(e.EncodeUint(token))
}

func (e *encoder) ints(values ...int64) {
	for _, value := range values {
		e.note(e.EncodeInt(value))
	}
}

func (e *encoder) strings(values ...string) {
	for _, value := range values {
		e.note(e.EncodeString(value))
	}
}

// float writes whole numbers as integers, which take one to five bytes in place of nine.
func (e *encoder) float(value float64) {
	if value == math.Trunc(value) && math.Abs(value) < 1<<53 {
		e.ints(int64(value))
		return
	}
	e.note(e.EncodeFloat64(value))
}

func (e *encoder) run(key pimjob.TaskKey, number int) {
	e.strings(key.Job)
	e.ints(int64(key.Occurrence), int64(key.Step), int64(key.Index), int64(number))
}

func (e *encoder) keyOf(jobs map[string]int64, key pimjob.TaskKey) {
	e.ints(jobs[key.Job], int64(key.Occurrence), int64(key.Step), int64(key.Index))
}

func (d *decoder) fail(format string, values ...any) {
	if d.err == nil {
		d.err = pimcode.New(pimcode.UnknownMessage, format, values...)
	}
}

func (d *decoder) int() int64     { return read(d, d.DecodeInt64) }
func (d *decoder) uint() uint64   { return read(d, d.DecodeUint64) }
func (d *decoder) string() string { return read(d, d.DecodeString) }
func (d *decoder) float() float64 { return read(d, d.DecodeFloat64) }
func (d *decoder) bool() bool     { return read(d, d.DecodeBool) }

func (d *decoder) duration() time.Duration { return time.Duration(d.int()) }

// enum reads a number from 0 to last.
func (d *decoder) enum(last int64) int64 {
	value := d.int()
	if value < 0 || value > last {
		d.fail("%d is not from 0 to %d", value, last)
		return 0
	}
	return value
}

// length reads the length of a list that has at most limit elements, or 0 after an error.
func (d *decoder) length(limit int) int {
	return int(d.enum(int64(limit)))
}

func (d *decoder) key() pimjob.TaskKey {
	return pimjob.TaskKey{Job: d.string(), Occurrence: int(d.int()), Step: int(d.int()), Index: int(d.int())}
}

func (d *decoder) keyOf(jobs []string) pimjob.TaskKey {
	var key pimjob.TaskKey
	if at := d.int(); at >= 0 && at < int64(len(jobs)) {
		key.Job = jobs[at]
	} else {
		d.fail("job %d of %d", at, len(jobs))
	}
	key.Occurrence, key.Step, key.Index = int(d.int()), int(d.int()), int(d.int())
	return key
}

func read[T any](d *decoder, decodeValue func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	value, err := decodeValue()
	if err != nil {
		d.fail("decode a value: %v", err)
		return zero
	}
	return value
}
