package pimconsensus

// entryLog holds in memory the last snapshot and the entries that follow it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *entryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, or false if it was compacted or not yet appended.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries from index on, limited to one AppendRequest's worth.
func (l *entryLog) slice(index uint64) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.firstIndex():]
	bytes := 0
	for i, entry := range rest {
		bytes += len(entry.Data)
		if i == maxEntriesPerAppend || (i > 0 && bytes > maxBytesPerAppend) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// truncateFrom removes the entry at index and all after it.
func (l *entryLog) truncateFrom(index uint64) {
	keep := index - l.firstIndex()
	l.entries = append([]Entry(nil), l.entries[:keep]...)
}

// compactTo replaces the entries up to the snapshot's index with the snapshot.
func (l *entryLog) compactTo(snapshot Snapshot) {
	if snapshot.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[snapshot.Index+1-l.firstIndex():]...)
	}
	l.snapshot = snapshot
}
