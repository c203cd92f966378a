package pimlog

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
)

type (
	// File is a segment or snapshot opened for writing. Tests replace it to make writes and syncs fail.
	File interface {
		Write(data []byte) (int, error)
		Sync() error
		Close() error
	}

	// OpenFile opens a file for appending and creates it if needed.
	OpenFile func(path string) (File, error)

	// Batch is the unit of writing: one frame, made durable by one sync.
	Batch struct {
		HardState *pimconsensus.HardState `msgpack:"h,omitempty"`
		Entries   []pimconsensus.Entry    `msgpack:"e,omitempty"`
	}

	// Store writes the batches and snapshots of one group. It is not safe for concurrent use.
	Store struct {
		folder    string
		open      OpenFile
		segment   File
		sequence  uint64
		persisted pimconsensus.PersistentState
		failed    error
	}

	// Lock is an exclusive lock on a data folder, held by the process that uses it.
	Lock struct{ file *os.File }
)

const (
	lockName = "lock"
	// lockTimeout is several times what the system takes to end a killed process.
	lockTimeout    = 3 * time.Second
	lockInterval   = 20 * time.Millisecond
	segmentPattern = "segment-%016x.log"
	snapshotName   = "snapshot"
	folderMode     = 0o755
	fileMode       = 0o644
)

// LockFolder creates the folder if needed and locks it. It waits up to lockTimeout for another process to release the
// lock, since a killed process holds it until the system has ended it. After that it fails with FolderLocked.
func LockFolder(folder string) (*Lock, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	for waited := time.Duration(0); syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil; waited += lockInterval {
		if waited >= lockTimeout {
			file.Close()
			return nil, pimcode.New(pimcode.FolderLocked, "data folder %q is used by another process for %v", folder, waited)
		}
		time.Sleep(lockInterval)
	}
	return &Lock{file: file}, nil
}

// Release releases the lock.
func (l *Lock) Release() error { return l.file.Close() }

// OpenSegment is the OpenFile that production code uses.
func OpenSegment(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Open reads a group's folder and returns its store and the stored state. It removes an
// unfinished write at the end of the log; any other damage fails with LogCorrupt.
func Open(folder string, open OpenFile) (*Store, pimconsensus.PersistentState, error) {
	s := &Store{folder: folder, open: open}
	if err := makeFolder(folder); err != nil {
		return nil, s.persisted, err
	}
	if err := s.load(); err != nil {
		return nil, s.persisted, err
	}
	saved := s.persisted
	saved.Entries = slices.Clone(saved.Entries)
	return s, saved, nil
}

func (s *Store) load() error {
	if err := s.loadSnapshot(); err != nil {
		return err
	}
	names, err := filepath.Glob(filepath.Join(s.folder, "segment-*.log"))
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Sscanf(filepath.Base(name), segmentPattern, &s.sequence); err != nil {
			return pimcode.New(pimcode.LogCorrupt, "file %q: the name is not that of a segment", name)
		}
	}
	if err := s.loadNewestSegment(names); err != nil {
		return err
	}
	return s.startSegment()
}

// loadNewestSegment loads the newest segment whose first record is valid. That record holds all that older segments held when
// it was written, so that older ones are ignored: after a power loss they may be back, in any state. A segment whose first record is
// not valid was not finished, and nothing that only it holds was acknowledged, if an older one is still there.
func (s *Store) loadNewestSegment(names []string) error {
	for _, name := range slices.Backward(names) {
		data, err := os.ReadFile(name)
		if err != nil {
			return pimcode.New(pimcode.DiskFailed, "%v", err)
		}
		if _, _, ok := readFrame(data); ok {
			return s.loadSegment(name, data)
		}
		if hasFrame(data) {
			return recordCorrupt(name, 0)
		}
	}
	if len(names) == 0 {
		return nil
	}
	if s.sequence > 1 || s.persisted.Snapshot.Index > 0 {
		return recordCorrupt(names[0], 0)
	}
	// The first start of this folder was not finished. The next one writes the same file.
	s.sequence = 0
	if err := os.Remove(names[0]); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return nil
}

func recordCorrupt(path string, offset int) error {
	return pimcode.New(pimcode.LogCorrupt, "file %q, offset %d: the record fails its checksum", path, offset)
}

func (s *Store) loadSnapshot() error {
	path := filepath.Join(s.folder, snapshotName)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	payload, size, ok := readFrame(data)
	if !ok || size != len(data) {
		return pimcode.New(pimcode.LogCorrupt, "file %q, offset 0: the snapshot fails its checksum", path)
	}
	if err := msgpack.Unmarshal(payload, &s.persisted.Snapshot); err != nil {
		return pimcode.New(pimcode.LogCorrupt, "file %q, offset 0: %v", path, err)
	}
	return nil
}

func (s *Store) loadSegment(path string, data []byte) error {
	for offset := 0; offset < len(data); {
		payload, size, ok := readFrame(data[offset:])
		if !ok {
			if hasFrame(data[offset+1:]) {
				return recordCorrupt(path, offset)
			}
			return truncateTail(path, offset)
		}
		if err := s.replay(payload); err != nil {
			return pimcode.New(pimcode.LogCorrupt, "file %q, offset %d: %v", path, offset, err)
		}
		offset += size
	}
	return nil
}

func truncateTail(path string, offset int) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	defer file.Close()
	if err := file.Truncate(int64(offset)); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	if err := file.Sync(); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return nil
}

func (s *Store) replay(payload []byte) error {
	var batch Batch
	if err := msgpack.Unmarshal(payload, &batch); err != nil {
		return err
	}
	return s.applyBatch(batch)
}

// applyBatch applies a batch to the in-memory copy of the stored state.
func (s *Store) applyBatch(batch Batch) error {
	if batch.HardState != nil {
		s.persisted.HardState = *batch.HardState
	}
	for _, entry := range batch.Entries {
		if entry.Index <= s.persisted.Snapshot.Index || entry.Term < s.persisted.Snapshot.Term {
			continue
		}
		keep := entry.Index - s.persisted.Snapshot.Index - 1
		if keep > uint64(len(s.persisted.Entries)) {
			return fmt.Errorf("gap: entry %d follows entry %d",
				entry.Index, s.persisted.Snapshot.Index+uint64(len(s.persisted.Entries)))
		}
		s.persisted.Entries = append(s.persisted.Entries[:keep], entry)
	}
	return nil
}

// Append writes and syncs a batch. After a failed write or sync the content of the disk is
// unknown, so Append and SaveSnapshot then always return that error.
func (s *Store) Append(batch Batch) error {
	if s.failed != nil {
		return s.failed
	}
	payload, err := msgpack.Marshal(batch)
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "encode batch: %v", err)
	}
	if err := s.writeFrame(s.segment, payload); err != nil {
		s.failed = err
		return err
	}
	return s.applyBatch(batch)
}

func (s *Store) writeFrame(file File, payload []byte) error {
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), payload)
	written, err := file.Write(frame)
	if err != nil || written < len(frame) {
		return pimcode.New(pimcode.DiskFailed, "write in folder %q: %d of %d bytes written: %v",
			s.folder, written, len(frame), err)
	}
	if err := file.Sync(); err != nil {
		return pimcode.New(pimcode.DiskFailed, "sync in folder %q: %v", s.folder, err)
	}
	return nil
}

// SaveSnapshot makes a snapshot durable and removes the segments that it replaces.
func (s *Store) SaveSnapshot(snapshot pimconsensus.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if snapshot.Index <= s.persisted.Snapshot.Index {
		return nil
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		s.failed = err
		return err
	}
	s.discardUpTo(snapshot)
	if err := s.startSegment(); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) writeSnapshot(snapshot pimconsensus.Snapshot) error {
	payload, err := msgpack.Marshal(snapshot)
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "encode snapshot: %v", err)
	}
	temporary := filepath.Join(s.folder, snapshotName+".new")
	if err := os.Remove(temporary); err != nil && !os.IsNotExist(err) {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	file, err := s.open(temporary)
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	err = s.writeFrame(file, payload)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = pimcode.New(pimcode.DiskFailed, "%v", closeErr)
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(s.folder, snapshotName)); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return SyncFolder(s.folder)
}

func (s *Store) discardUpTo(snapshot pimconsensus.Snapshot) {
	covered := snapshot.Index - s.persisted.Snapshot.Index
	last := uint64(len(s.persisted.Entries))
	matches := covered <= last && s.persisted.Entries[covered-1].Term == snapshot.Term
	if matches {
		s.persisted.Entries = slices.Clone(s.persisted.Entries[covered:])
	} else {
		s.persisted.Entries = nil
	}
	s.persisted.Snapshot = snapshot
}

// startSegment opens a new segment whose first batch holds the hard state and all entries
// since the snapshot, and then removes the older segments.
func (s *Store) startSegment() error {
	if s.segment != nil {
		s.segment.Close()
	}
	s.sequence++
	name := fmt.Sprintf(segmentPattern, s.sequence)
	segment, err := s.open(filepath.Join(s.folder, name))
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	s.segment = segment
	hard := s.persisted.HardState
	payload, err := msgpack.Marshal(Batch{HardState: &hard, Entries: s.persisted.Entries})
	if err != nil {
		return pimcode.New(pimcode.ProgramFailed, "encode batch: %v", err)
	}
	if err := s.writeFrame(segment, payload); err != nil {
		return err
	}
	if err := SyncFolder(s.folder); err != nil {
		return err
	}
	return s.removeSegmentsBefore(name)
}

func (s *Store) removeSegmentsBefore(name string) error {
	files, err := os.ReadDir(s.folder)
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	removed := false
	for _, file := range files {
		if !strings.HasPrefix(file.Name(), "segment-") || file.Name() >= name {
			continue
		}
		if err := os.Remove(filepath.Join(s.folder, file.Name())); err != nil {
			return pimcode.New(pimcode.DiskFailed, "%v", err)
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return SyncFolder(s.folder)
}

// makeFolder creates a folder, if needed, and makes its name durable: without it a daemon would start with an empty log under
// its earlier identity after a power loss.
func makeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	return SyncFolder(filepath.Dir(folder))
}

// Close closes the open segment.
func (s *Store) Close() error { return s.segment.Close() }

// SyncFolder syncs a folder, which makes files created, renamed or removed in it durable.
func SyncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return pimcode.New(pimcode.DiskFailed, "%v", err)
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return pimcode.New(pimcode.DiskFailed, "sync folder %q: %v", folder, err)
	}
	return nil
}
