package pimcontrol

import (
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

// compactEntries and compactBytes limit the log: once the entries since the last snapshot reach either
// of them, a new snapshot replaces these entries.
const (
	compactEntries = 2000
	compactBytes   = 4 << 20
)

// flush sends, stores and applies the output of the replica.
func (c *Control) flush() {
	for range 4 {
		output := c.replica.Take()
		c.send(output.Immediate)
		if output.Restore != nil {
			c.installSnapshot(*output.Restore)
		}
		c.applyCommitted(output.Committed)
		c.disk.add(output)
		c.send(c.disk.next())
		if len(output.Committed) == 0 && len(output.Immediate) == 0 {
			return
		}
	}
}

func (c *Control) send(envelopes []pimconsensus.Envelope) {
	for _, envelope := range envelopes {
		body, err := pimmessage.Encode(envelope.Message)
		if err != nil {
			c.logger.Error().Err(err).Msg("consensus message cannot be encoded")
			continue
		}
		c.transport.Send(
			pimforward.AddressOf(envelope.To), envelope.To, pimmessage.Consensus{Group: pimforward.GroupName, Body: body},
		)
	}
}

func (c *Control) installSnapshot(snapshot pimconsensus.Snapshot) {
	state, err := pimjob.Restore(snapshot.Data)
	if err != nil {
		c.logger.Error().Err(err).Uint64("index", snapshot.Index).Msg("snapshot of the leader cannot be decoded")
		return
	}
	c.state = state
	c.heartbeats.reset(state)
	c.logBytes = 0
	c.logger.Info().Uint64("index", snapshot.Index).Msg("installed the snapshot of the leader")
}

func (c *Control) applyCommitted(entries []pimconsensus.Entry) {
	for _, entry := range entries {
		c.logBytes += len(entry.Data)
		if entry.Kind != pimconsensus.EntryCommand {
			continue
		}
		at, ops, err := pimjob.DecodeBatch(entry.Data)
		if err != nil {
			c.logger.Error().Err(err).Uint64("index", entry.Index).Msg("log entry cannot be decoded")
			continue
		}
		changes := c.state.Apply(at, ops)
		c.heartbeats.onChanges(changes, c.state.Config().Services)
		if c.leadership != nil {
			c.leadership.onApplied(c, entry, changes)
		}
	}
	c.compact()
}

func (c *Control) compact() {
	applied := c.replica.Applied()
	if applied-c.replica.SnapshotIndex() < compactEntries && c.logBytes < compactBytes {
		return
	}
	data, err := c.state.Snapshot()
	if err != nil {
		c.logger.Error().Err(err).Msg("snapshot of the job state cannot be encoded")
		return
	}
	if snapshot, ok := c.replica.Compact(applied, data); ok {
		c.disk.addSnapshot(snapshot)
		c.logger.Info().Uint64("index", snapshot.Index).Int("bytes", len(data)).Msg("compacted the log into a snapshot")
	}
	c.logBytes = 0
}

// onPersisted handles the end of a disk write. It returns the error of a failed write, after which
// the data folder must be reopened.
func (c *Control) onPersisted(e persistedEvent) error {
	if e.epoch != c.disk.epoch {
		return nil
	}
	if e.err != nil {
		return e.err
	}
	c.disk.busy = false
	if last, ok := e.batch.last(); ok {
		c.replica.Persisted(c.now, last.Index, last.Term)
	}
	c.send(e.batch.messages)
	c.send(c.disk.next())
	return nil
}
