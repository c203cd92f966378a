package pimlog_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconsensus"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

// FuzzFolder opens folders whose only segment or snapshot holds arbitrary bytes. They are opened or refused; what was
// opened can be appended to and opened again.
func FuzzFolder(f *testing.F) {
	folder := f.TempDir()
	store, _, err := pimlog.Open(folder, pimlog.OpenSegment)
	assert.NilError(f, err)
	assert.NilError(f, store.Append(pimlog.Batch{Entries: []pimconsensus.Entry{{Index: 1, Term: 1, Data: []byte("x")}}}))
	assert.NilError(f, store.SaveSnapshot(pimconsensus.Snapshot{Index: 1, Term: 1, Data: []byte("y")}))
	store.Close()
	names, err := filepath.Glob(filepath.Join(folder, "*"))
	assert.NilError(f, err)
	for _, name := range names {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data, filepath.Base(name) == "snapshot")
		f.Add(data[:len(data)/2], filepath.Base(name) == "snapshot")
	}
	f.Add([]byte("1PIM\xff\xff\xff\xff"), false)
	f.Fuzz(func(t *testing.T, data []byte, isSnapshot bool) {
		folder := t.TempDir()
		name := "segment-0000000000000001.log"
		if isSnapshot {
			name = "snapshot"
		}
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), data, 0o600))
		store, saved, err := pimlog.Open(folder, pimlog.OpenSegment)
		if err != nil {
			return
		}
		next := saved.Snapshot.Index + uint64(len(saved.Entries)) + 1
		err = store.Append(pimlog.Batch{Entries: []pimconsensus.Entry{{Index: next, Term: 9}}})
		store.Close()
		if err != nil {
			return
		}
		_, _, err = pimlog.Open(folder, pimlog.OpenSegment)
		assert.NilError(t, err)
	})
}
