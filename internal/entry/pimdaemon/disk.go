package pimdaemon

import (
	"path/filepath"
	"sync"

	"github.com/alitto/pond/v2"

	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// disk makes the batches of all groups durable, in order within a group. Batches that queue up for a group while a
	// write is in progress share the next write and sync.
	disk struct {
		folder      string
		open        pimlog.OpenFile
		onPersisted func(command pimcore.Persist)
		onFailure   func(err error)

		mutex  sync.Mutex
		groups map[string]*diskGroup
	}

	// diskGroup is the store of one group with its queue. A pool of one worker keeps the writes in order.
	diskGroup struct {
		store     *pimlog.Store
		pool      pond.Pool
		pending   []pimcore.Persist
		isWriting bool
	}
)

const groupsFolder = "groups"

func newDisk(folder string, open pimlog.OpenFile) *disk {
	return &disk{folder: filepath.Join(folder, groupsFolder), open: open, groups: map[string]*diskGroup{}}
}

// load opens the store of each group in the data folder and returns the stored states by group name.
func (d *disk) load() (map[string]pimconsensus.PersistentState, error) {
	stored := map[string]pimconsensus.PersistentState{}
	paths, err := filepath.Glob(filepath.Join(d.folder, "*"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		name := filepath.Base(path)
		store, state, err := pimlog.Open(path, d.open)
		if err != nil {
			return nil, err
		}
		d.groups[name] = newDiskGroup(store)
		stored[name] = state
	}
	return stored, nil
}

func newDiskGroup(store *pimlog.Store) *diskGroup {
	return &diskGroup{store: store, pool: pond.NewPool(1)}
}

// submit queues a command. onPersisted or onFailure reports its result.
func (d *disk) submit(command pimcore.Persist) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	g := d.groups[command.Group]
	if g == nil {
		store, _, err := pimlog.Open(filepath.Join(d.folder, command.Group), d.open)
		if err != nil {
			d.onFailure(err)
			return
		}
		g = newDiskGroup(store)
		d.groups[command.Group] = g
	}
	g.pending = append(g.pending, command)
	if !g.isWriting {
		g.isWriting = true
		g.pool.Submit(func() { d.writePending(g) })
	}
}

// writePending writes the queue of a group until it is empty or a write fails. After a failure the group writes
// nothing more.
func (d *disk) writePending(g *diskGroup) {
	for {
		d.mutex.Lock()
		commands := g.pending
		g.pending = nil
		g.isWriting = len(commands) > 0
		d.mutex.Unlock()
		if len(commands) == 0 {
			return
		}
		if err := g.write(commands); err != nil {
			d.onFailure(err)
			return
		}
		for _, command := range commands {
			d.onPersisted(command)
		}
	}
}

// write merges consecutive batches into one write and sync. A snapshot is saved after the batches before it and before
// the batch that comes with it.
func (g *diskGroup) write(commands []pimcore.Persist) error {
	var merged pimlog.Batch
	for _, command := range commands {
		if command.Snapshot != nil {
			if err := g.flush(&merged); err != nil {
				return err
			}
			if err := g.store.SaveSnapshot(*command.Snapshot); err != nil {
				return err
			}
		}
		if command.Batch.HardState != nil {
			merged.HardState = command.Batch.HardState
		}
		merged.Entries = append(merged.Entries, command.Batch.Entries...)
	}
	return g.flush(&merged)
}

func (g *diskGroup) flush(batch *pimlog.Batch) error {
	if batch.HardState == nil && len(batch.Entries) == 0 {
		return nil
	}
	err := g.store.Append(*batch)
	*batch = pimlog.Batch{}
	return err
}

func (d *disk) close() {
	d.mutex.Lock()
	groups := d.groups
	d.mutex.Unlock()
	for _, g := range groups {
		g.pool.StopAndWait()
		g.store.Close()
	}
}
