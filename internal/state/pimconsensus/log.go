package pimconsensus

// entryLog holds the entries after the last snapshot, in memory.
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

// termAt returns the term of an entry, or false where the log no longer or not yet holds it.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns entries from index on, limited in count and bytes.
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

// truncateFrom drops the entry at index and all after it.
func (l *entryLog) truncateFrom(index uint64) {
	keep := index - l.firstIndex()
	l.entries = append([]Entry(nil), l.entries[:keep]...)
}

// compactTo drops entries up to the snapshot's index.
func (l *entryLog) compactTo(snapshot Snapshot) {
	if snapshot.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[snapshot.Index+1-l.firstIndex():]...)
	}
	l.snapshot = snapshot
}
