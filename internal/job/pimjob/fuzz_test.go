package pimjob_test

import (
	"testing"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

// FuzzLogEntry decodes and applies log entries.
func FuzzLogEntry(f *testing.F) {
	entry, _ := pimjob.EncodeBatch(1000, []pimjob.Op{
		pimjob.PutWorker{Worker: pimjob.Worker{ID: "w", Generation: 1}},
		pimjob.Submit{Submission: pimjob.Submission{ID: "a", Steps: []pimjob.Step{{Count: 1}}}},
		pimjob.Start{Key: pimjob.TaskKey{Job: "a"}, Number: 1, Worker: "w", Generation: 1},
		pimjob.End{Key: pimjob.TaskKey{Job: "a"}, Number: 1, Worker: "w", Generation: 1},
		pimjob.SaveLearned{Learned: pimjob.Learned{Images: []string{"i"}}},
	})
	f.Add(entry)
	negative, _ := pimjob.EncodeBatch(1000, []pimjob.Op{
		pimjob.Start{Key: pimjob.TaskKey{Job: "a", Occurrence: -1, Step: 9, Index: -7}, Number: -1},
	})
	f.Add(negative)
	f.Add([]byte{0x82, 0xa1, 'a', 0x01, 0xa1, 'o', 0x91, 0xc4, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _, _ = pimjob.DecodeBatch(data)
	})
}

// FuzzSnapshot restores snapshots.
func FuzzSnapshot(f *testing.F) {
	state := pimjob.NewState()
	state.Apply(1000, []pimjob.Op{
		pimjob.PutWorker{Worker: pimjob.Worker{ID: "w", Generation: 1}},
		pimjob.Submit{Submission: pimjob.Submission{ID: "a", Steps: []pimjob.Step{{Count: 1}}}},
	})
	data, _ := state.Snapshot()
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x81, 0xa1, 'j', 0x81, 0xa1, 'a', 0xc0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		state, err := pimjob.Restore(data)
		if err == nil {
			state.OpenJobs()
			state.Workers()
		}
	})
}
