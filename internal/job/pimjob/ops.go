package pimjob

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
)

type (
	// Op is an operation on the state.
	Op interface{ isOp() }

	// Submit adds a job with the settings of a queue. It has no effect if a job with this id exists, or if AuthorizedBy
	// is not the version of the configuration in effect.
	Submit struct {
		Submission Submission `msgpack:"s"`
		Queue      Queue      `msgpack:"q"`
		// Organisation is the name of the owner of the job, or "".
		Organisation string `msgpack:"g,omitempty"`
		// RateWindow is the window of the organisation's rate, or 0 if rates are off. The leader sets it, so that all
		// replicas use the same one.
		RateWindow time.Duration `msgpack:"w,omitempty"`
		// AuthorizedBy is the version of the configuration that holds the caller's key, or 0 without one. An entry may
		// be committed long after it was proposed, for instance by the next leader after a restart of all machines,
		// when the key is revoked.
		AuthorizedBy int64 `msgpack:"v,omitempty"`
	}

	// Cancel ends a job. Its live runs are stopped afterwards. AuthorizedBy is as for Submit.
	Cancel struct {
		ID           string `msgpack:"i"`
		AuthorizedBy int64  `msgpack:"v,omitempty"`
	}

	// Start places a run of a task on a worker. It has no effect if the job has ended, the task is
	// done or has a live run, the number is not higher than that of the task's last run, the quota of
	// the job's organisation does not admit it, or the worker is unknown, is draining, is in a failure
	// domain out of service or has another generation.
	Start struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Worker     string  `msgpack:"w"`
		Generation int64   `msgpack:"b"`
	}

	// ConfirmBegin records that a worker has begun a run. It has an effect once for a job, also if that run has ended.
	ConfirmBegin struct {
		Key    TaskKey `msgpack:"k"`
		Number int     `msgpack:"n"`
	}

	// End records how a run ended. It has no effect if the run is not the task's live run.
	End struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Worker     string  `msgpack:"w"`
		Generation int64   `msgpack:"b"`
		Kind       EndKind `msgpack:"h"`
		Checkpoint string  `msgpack:"s,omitempty"`
	}

	// SaveCheckpoint records the newest checkpoint of a live run.
	SaveCheckpoint struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Checkpoint string  `msgpack:"s"`
	}

	// PutWorker adds or changes a worker. All runs of an older generation, which has crashed unless it was draining, are
	// lost. It has no effect if the generation has ended or a newer one is known. A generation that is draining stays so.
	PutWorker struct {
		Worker Worker `msgpack:"w"`
	}

	// DropWorker records that a generation of a worker has ended. Crashed means that it ended without notice, MayReturn that
	// it may not have ended and is added again by its next heartbeat.
	DropWorker struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
		Crashed    bool   `msgpack:"c,omitempty"`
		MayReturn  bool   `msgpack:"r,omitempty"`
	}

	// ExpireLease records that the lease of a worker's generation expired, which ended its runs. Except are the tasks of those
	// that may go on for longer.
	ExpireLease struct {
		ID         string    `msgpack:"i"`
		Generation int64     `msgpack:"b"`
		Except     []TaskKey `msgpack:"e,omitempty"`
	}

	// SettleLease records that the lease of a worker's generation is known again, as that which calls for an earlier one may
	// have given it has expired.
	SettleLease struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
	}

	// MarkSilent records that a worker's generation has not responded for some time, or that it responds again. If it has
	// crashed, the ages of its runs at that time tell which of them may be the cause, also to later leaders. Confirmed are the
	// tasks of the runs that the worker is known to have begun.
	MarkSilent struct {
		ID            string        `msgpack:"i"`
		Generation    int64         `msgpack:"b"`
		SilentFor     time.Duration `msgpack:"s,omitempty"`
		Confirmed     []TaskKey     `msgpack:"c,omitempty"`
		RespondsAgain bool          `msgpack:"r,omitempty"`
	}

	// PutConfig puts a configuration into effect if its version is higher.
	PutConfig struct {
		Config Config `msgpack:"c"`
	}

	// MarkDomain takes a failure domain out of service or puts it back into service. If Conditional is set, it has no effect
	// unless State.MarkCount of the domain is After: another mark was committed since the operator's order was read.
	MarkDomain struct {
		Domain       string `msgpack:"d"`
		OutOfService bool   `msgpack:"o"`
		Conditional  bool   `msgpack:"c,omitempty"`
		After        int64  `msgpack:"n,omitempty"`
	}

	// SaveLearned replaces what the planners of earlier leaders have learned.
	SaveLearned struct {
		Learned Learned `msgpack:"l"`
	}

	// Batch is one entry of the log. At is the leader's wall-clock time in milliseconds since 1970.
	Batch struct {
		At  int64    `msgpack:"a"`
		Ops [][]byte `msgpack:"o"`
	}
)

var opCodec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "s", Zero: Submit{}},
	{Name: "c", Zero: Cancel{}},
	{Name: "r", Zero: Start{}},
	{Name: "b", Zero: ConfirmBegin{}},
	{Name: "e", Zero: End{}},
	{Name: "p", Zero: SaveCheckpoint{}},
	{Name: "w", Zero: PutWorker{}},
	{Name: "d", Zero: DropWorker{}},
	{Name: "l", Zero: ExpireLease{}},
	{Name: "t", Zero: SettleLease{}},
	{Name: "q", Zero: MarkSilent{}},
	{Name: "f", Zero: PutConfig{}},
	{Name: "m", Zero: MarkDomain{}},
	{Name: "n", Zero: SaveLearned{}},
})

func (Submit) isOp()         {}
func (Cancel) isOp()         {}
func (Start) isOp()          {}
func (ConfirmBegin) isOp()   {}
func (End) isOp()            {}
func (SaveCheckpoint) isOp() {}
func (PutWorker) isOp()      {}
func (DropWorker) isOp()     {}
func (ExpireLease) isOp()    {}
func (SettleLease) isOp()    {}
func (MarkSilent) isOp()     {}
func (PutConfig) isOp()      {}
func (MarkDomain) isOp()     {}
func (SaveLearned) isOp()    {}

// EncodeBatch returns the bytes of a log entry.
func EncodeBatch(at int64, ops []Op) ([]byte, error) {
	batch := Batch{At: at}
	for _, op := range ops {
		data, err := opCodec.Encode(op)
		if err != nil {
			return nil, err
		}
		batch.Ops = append(batch.Ops, data)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode batch: %v", err)
	}
	return data, nil
}

// DecodeBatch returns the time and the operations of a log entry. Errors have the code
// pimcode.UnknownMessage.
func DecodeBatch(data []byte) (int64, []Op, error) {
	var batch Batch
	if err := msgpack.Unmarshal(data, &batch); err != nil {
		return 0, nil, pimcode.New(pimcode.UnknownMessage, "decode batch: %v", err)
	}
	ops := make([]Op, 0, len(batch.Ops))
	for _, encoded := range batch.Ops {
		value, err := opCodec.Decode(encoded)
		if err != nil {
			return 0, nil, err
		}
		ops = append(ops, value.(Op))
	}
	return batch.At, ops, nil
}
