package pimjob

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
)

type (
	// Op is an operation on the state.
	Op interface{ isOp() }

	// Submit takes in a job under the terms of a queue. The same id again changes nothing.
	Submit struct {
		Submission Submission `msgpack:"s"`
		Queue      Queue      `msgpack:"q"`
	}

	// Cancel ends a job; its live runs are to be stopped.
	Cancel struct {
		ID string `msgpack:"i"`
	}

	// Start places a run of a task on a worker. It is void if the job has ended, the task
	// is done or has a live run, the number is not higher than the task's last one, or the
	// worker's life has ended or is draining.
	Start struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Worker     string  `msgpack:"w"`
		Generation int64   `msgpack:"b"`
	}

	// End notes how a run ended. It is void if the run is not the task's live one.
	End struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Worker     string  `msgpack:"w"`
		Generation int64   `msgpack:"b"`
		Kind       EndKind `msgpack:"h"`
		Checkpoint string  `msgpack:"s,omitempty"`
	}

	// SaveCheckpoint notes the newest checkpoint of a live run.
	SaveCheckpoint struct {
		Key        TaskKey `msgpack:"k"`
		Number     int     `msgpack:"n"`
		Checkpoint string  `msgpack:"s"`
	}

	// PutWorker notes a worker or a change of it. All runs of an older life are lost.
	PutWorker struct {
		Worker Worker `msgpack:"w"`
	}

	// DropWorker notes that a life of a worker is over.
	DropWorker struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
	}

	// ExpireLease notes that the lease of a worker's life ran out, which ended its runs.
	ExpireLease struct {
		ID         string `msgpack:"i"`
		Generation int64  `msgpack:"b"`
	}

	// PutConfig puts a configuration in force if its version is higher.
	PutConfig struct {
		Config Config `msgpack:"c"`
	}

	// MarkDomain takes a failure domain out of service or back in.
	MarkDomain struct {
		Domain       string `msgpack:"d"`
		OutOfService bool   `msgpack:"o"`
	}

	// Batch is one entry of the log. At is the leader's time of day in milliseconds since 1970.
	Batch struct {
		At  int64    `msgpack:"a"`
		Ops [][]byte `msgpack:"o"`
	}
)

var opCodec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "s", Zero: Submit{}},
	{Name: "c", Zero: Cancel{}},
	{Name: "r", Zero: Start{}},
	{Name: "e", Zero: End{}},
	{Name: "p", Zero: SaveCheckpoint{}},
	{Name: "w", Zero: PutWorker{}},
	{Name: "d", Zero: DropWorker{}},
	{Name: "l", Zero: ExpireLease{}},
	{Name: "f", Zero: PutConfig{}},
	{Name: "m", Zero: MarkDomain{}},
})

func (Submit) isOp()         {}
func (Cancel) isOp()         {}
func (Start) isOp()          {}
func (End) isOp()            {}
func (SaveCheckpoint) isOp() {}
func (PutWorker) isOp()      {}
func (DropWorker) isOp()     {}
func (ExpireLease) isOp()    {}
func (PutConfig) isOp()      {}
func (MarkDomain) isOp()     {}

// EncodeBatch returns the bytes of an entry.
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

// DecodeBatch returns the time and operations of an entry.
func DecodeBatch(data []byte) (int64, []Op, error) {
	var batch Batch
	if err := msgpack.Unmarshal(data, &batch); err != nil {
		return 0, nil, pimcode.New(pimcode.UnknownMessage, "batch: %v", err)
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
