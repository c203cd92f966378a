package pimcontrol

import (
	"context"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// disk writes one batch at a time. Output that arrives during a write goes to the next batch.
	disk struct {
		store   *pimlog.Store
		batches chan diskBatch
		busy    bool
		pending diskBatch
		// epoch distinguishes the events of this disk from late events of one that failed and was reopened.
		epoch int
	}

	// diskBatch is a sequence of writes, and the messages that may be sent once all of them are durable.
	diskBatch struct {
		writes   []diskWrite
		messages []pimconsensus.Envelope
	}

	// diskWrite is a snapshot, or a hard state (term and vote) with entries.
	diskWrite struct {
		snapshot *pimconsensus.Snapshot
		hard     *pimconsensus.HardState
		entries  []pimconsensus.Entry
	}
)

// add adds an output of the replica to the pending batch. Entries that follow an installed snapshot
// are written after it, entries that it covers are written before it.
func (d *disk) add(output pimconsensus.Output) {
	install := output.Install
	if install != nil && (len(output.Entries) == 0 || output.Entries[0].Index > install.Index) {
		d.addSnapshot(*install)
		install = nil
	}
	if output.HardState != nil || len(output.Entries) > 0 {
		d.addEntries(output.HardState, output.Entries)
	}
	if install != nil {
		d.addSnapshot(*install)
	}
	d.pending.messages = append(d.pending.messages, output.AfterSync...)
}

func (d *disk) addSnapshot(snapshot pimconsensus.Snapshot) {
	d.pending.writes = append(d.pending.writes, diskWrite{snapshot: &snapshot})
}

func (d *disk) addEntries(hard *pimconsensus.HardState, entries []pimconsensus.Entry) {
	n := len(d.pending.writes)
	if n == 0 || d.pending.writes[n-1].snapshot != nil {
		d.pending.writes = append(d.pending.writes, diskWrite{})
		n++
	}
	write := &d.pending.writes[n-1]
	if hard != nil {
		write.hard = hard
	}
	write.entries = append(write.entries, entries...)
}

// next starts to write the pending batch unless a write is in progress. If the batch has nothing to
// write, it returns the messages, which may be sent at once.
func (d *disk) next() []pimconsensus.Envelope {
	if d.busy {
		return nil
	}
	batch := d.pending
	d.pending = diskBatch{}
	if len(batch.writes) == 0 {
		return batch.messages
	}
	d.busy = true
	d.batches <- batch
	return nil
}

// run writes batches until the context ends or a write fails, then closes the store.
func (d *disk) run(ctx context.Context, events chan<- event) error {
	defer d.store.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-d.batches:
			err := d.write(batch)
			select {
			case events <- persistedEvent{d.epoch, batch, err}:
			case <-ctx.Done():
				return nil
			}
			if err != nil {
				return err
			}
		}
	}
}

func (d *disk) write(batch diskBatch) error {
	for _, write := range batch.writes {
		var err error
		if write.snapshot != nil {
			err = d.store.SaveSnapshot(*write.snapshot)
		} else {
			err = d.store.Append(pimlog.Batch{HardState: write.hard, Entries: write.entries})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// last returns the last entry that the batch made durable.
func (b diskBatch) last() (pimconsensus.Entry, bool) {
	for i := len(b.writes) - 1; i >= 0; i-- {
		if n := len(b.writes[i].entries); n > 0 {
			return b.writes[i].entries[n-1], true
		}
	}
	return pimconsensus.Entry{}, false
}
