package pimlog_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

// failingFile fails syncs or cuts writes short while the flag that it points to is set.
type failingFile struct {
	pimlog.File
	failSync, failWrite *bool
}

func (f failingFile) Sync() error {
	if *f.failSync {
		return errors.New("simulated sync failure")
	}
	return f.File.Sync()
}

func (f failingFile) Write(data []byte) (int, error) {
	if *f.failWrite {
		return f.File.Write(data[:len(data)/2])
	}
	return f.File.Write(data)
}

func open(t *testing.T, folder string) (*pimlog.Store, pimconsensus.PersistentState) {
	t.Helper()
	store, saved, err := pimlog.Open(folder, pimlog.OpenSegment)
	assert.NilError(t, err)
	return store, saved
}

func entry(index, term uint64) pimconsensus.Entry {
	return pimconsensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func appendEntries(t *testing.T, store *pimlog.Store, entries ...pimconsensus.Entry) {
	t.Helper()
	assert.NilError(t, store.Append(pimlog.Batch{Entries: entries}))
}

func segments(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "segment-*"))
	assert.NilError(t, err)
	return names
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	store, _ := open(t, folder)
	hard := pimconsensus.HardState{Term: 3, VotedFor: "a"}
	assert.NilError(t, store.Append(pimlog.Batch{HardState: &hard, Entries: []pimconsensus.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}))
	appendEntries(t, store, entry(2, 2))
	assert.NilError(t, store.Close())
	_, saved := open(t, folder)
	assert.DeepEqual(t, saved.HardState, hard)
	assert.DeepEqual(t, saved.Entries, []pimconsensus.Entry{entry(1, 1), entry(2, 2)})
}

func TestSnapshot(t *testing.T) {
	folder := t.TempDir()
	store, _ := open(t, folder)
	appendEntries(t, store, entry(1, 1), entry(2, 1), entry(3, 1))
	snapshot := pimconsensus.Snapshot{Index: 2, Term: 1, Data: []byte("state"), Members: pimconsensus.Members{Voters: []string{"a"}, Learners: []string{}}}
	assert.NilError(t, store.SaveSnapshot(snapshot))
	appendEntries(t, store, entry(4, 1))
	assert.Equal(t, len(segments(t, folder)), 1, "older segments are removed")
	_, saved := open(t, folder)
	assert.DeepEqual(t, saved.Snapshot, snapshot)
	assert.DeepEqual(t, saved.Entries, []pimconsensus.Entry{entry(3, 1), entry(4, 1)})
}

// TestTornTail truncates a segment at every byte of its last frame, as a crash during the write
// would, and checks that the store opens with the earlier entries and accepts new ones.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	store, _ := open(t, folder)
	appendEntries(t, store, entry(1, 1))
	whole, err := os.ReadFile(segments(t, folder)[0])
	assert.NilError(t, err)
	appendEntries(t, store, entry(2, 1))
	path := segments(t, folder)[0]
	longer, err := os.ReadFile(path)
	assert.NilError(t, err)
	for size := len(whole); size < len(longer); size++ {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, filepath.Base(path)), longer[:size], 0o644))
		store, saved := open(t, folder)
		assert.DeepEqual(t, saved.Entries, []pimconsensus.Entry{entry(1, 1)})
		appendEntries(t, store, entry(2, 7))
		_, saved = open(t, folder)
		assert.DeepEqual(t, saved.Entries, []pimconsensus.Entry{entry(1, 1), entry(2, 7)})
	}
}

func TestCorruption(t *testing.T) {
	t.Run("corruption in the middle of a segment is an error with file and offset", func(t *testing.T) {
		folder := t.TempDir()
		store, _ := open(t, folder)
		appendEntries(t, store, entry(1, 1))
		path := segments(t, folder)[0]
		before, err := os.Stat(path)
		assert.NilError(t, err)
		appendEntries(t, store, entry(2, 1))
		appendEntries(t, store, entry(3, 1))
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		data[before.Size()+20] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o644))
		_, _, err = pimlog.Open(folder, pimlog.OpenSegment)
		assert.Equal(t, pimcode.Of(err), pimcode.LogCorrupt)
		assert.ErrorContains(t, err, fmt.Sprintf("%q, offset %d", path, before.Size()))
	})
	t.Run("corruption in the snapshot is an error", func(t *testing.T) {
		folder := t.TempDir()
		store, _ := open(t, folder)
		appendEntries(t, store, entry(1, 1))
		assert.NilError(t, store.SaveSnapshot(pimconsensus.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
		path := filepath.Join(folder, "snapshot")
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		data[len(data)-1] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o644))
		_, _, err = pimlog.Open(folder, pimlog.OpenSegment)
		assert.Equal(t, pimcode.Of(err), pimcode.LogCorrupt)
	})
}

func TestFailingDisk(t *testing.T) {
	for _, kind := range []string{"sync", "write"} {
		t.Run(kind+" failure: every later append fails", func(t *testing.T) {
			folder := t.TempDir()
			failSync, failWrite := false, false
			store, _, err := pimlog.Open(folder, func(path string) (pimlog.File, error) {
				file, err := pimlog.OpenSegment(path)
				return failingFile{File: file, failSync: &failSync, failWrite: &failWrite}, err
			})
			assert.NilError(t, err)
			appendEntries(t, store, entry(1, 1))
			failSync, failWrite = kind == "sync", kind == "write"
			err = store.Append(pimlog.Batch{Entries: []pimconsensus.Entry{entry(2, 1)}})
			assert.Equal(t, pimcode.Of(err), pimcode.DiskFailed)
			failSync, failWrite = false, false
			err = store.Append(pimlog.Batch{Entries: []pimconsensus.Entry{entry(3, 1)}})
			assert.Equal(t, pimcode.Of(err), pimcode.DiskFailed)
			_, saved := open(t, folder)
			assert.DeepEqual(t, saved.Entries[0], entry(1, 1))
		})
	}
}

func TestLockFolder(t *testing.T) {
	folder := t.TempDir()
	lock, err := pimlog.LockFolder(folder)
	assert.NilError(t, err)
	_, err = pimlog.LockFolder(folder)
	assert.Equal(t, pimcode.Of(err), pimcode.FolderLocked)
	assert.NilError(t, lock.Release())
	lock, err = pimlog.LockFolder(folder)
	assert.NilError(t, err)
	assert.NilError(t, lock.Release())
}

func TestLockFolderOfAnEndingProcess(t *testing.T) {
	folder := t.TempDir()
	first, err := pimlog.LockFolder(folder)
	assert.NilError(t, err)
	released := make(chan error, 1)
	time.AfterFunc(100*time.Millisecond, func() { released <- first.Release() })
	second, err := pimlog.LockFolder(folder)
	assert.NilError(t, err)
	assert.NilError(t, <-released)
	assert.NilError(t, second.Release())
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("1PIM\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "segment-0000000000000001.log"), data, 0o644))
		store, _, err := pimlog.Open(folder, pimlog.OpenSegment)
		if err == nil {
			assert.NilError(t, store.Close())
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, entries := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			store, _, err := pimlog.Open(b.TempDir(), pimlog.OpenSegment)
			assert.NilError(b, err)
			index := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				var batch pimlog.Batch
				for range entries {
					index++
					batch.Entries = append(batch.Entries, pimconsensus.Entry{Index: index, Term: 1, Data: make([]byte, 120)})
				}
				assert.NilError(b, store.Append(batch))
			}
		})
	}
}

func BenchmarkReplay(b *testing.B) {
	for _, entries := range []uint64{100, 1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			store, _, err := pimlog.Open(folder, pimlog.OpenSegment)
			assert.NilError(b, err)
			var batch pimlog.Batch
			for index := range entries {
				batch.Entries = append(batch.Entries, pimconsensus.Entry{Index: index + 1, Term: 1, Data: make([]byte, 120)})
			}
			assert.NilError(b, store.Append(batch))
			b.ReportAllocs()
			for b.Loop() {
				store, _, err := pimlog.Open(folder, pimlog.OpenSegment)
				assert.NilError(b, err)
				assert.NilError(b, store.Close())
			}
		})
	}
}
