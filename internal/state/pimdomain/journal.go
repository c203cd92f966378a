package pimdomain

import "github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"

// Lookup returns the result of a BeginRequest if the journal already determines it, and
// false if the request must go through the replicated log.
func (s *State) Lookup(c BeginRequest) (Result, bool) {
	entry, ok := s.Journal[c.RequestID]
	if !ok || entry.State == RequestNotExecuted {
		return Result{}, false
	}
	return entry.resultFor(c), true
}

func (s *State) beginRequest(c BeginRequest) Result {
	entry, ok := s.Journal[c.RequestID]
	if ok && entry.State != RequestNotExecuted {
		return entry.resultFor(c)
	}
	if ok && entry.Digest != c.Digest {
		return Result{Code: pimcode.RequestIDReused, Entry: entry}
	}
	if !ok && len(s.Journal) >= MaxJournalEntries {
		return Result{Code: pimcode.JournalFull}
	}
	entry = JournalEntry{Attempt: c.Attempt, Digest: c.Digest, State: RequestBegun, BegunAt: s.Clock}
	s.Journal[c.RequestID] = entry
	return Result{Proceed: true, Entry: entry}
}

// resultFor returns the result of a BeginRequest for a request that is journaled already. The
// recorded attempt itself may proceed, so that its BeginRequest can be proposed twice.
func (e JournalEntry) resultFor(c BeginRequest) Result {
	if e.Digest != c.Digest {
		return Result{Code: pimcode.RequestIDReused, Entry: e}
	}
	if e.State == RequestBegun && e.Attempt == c.Attempt {
		return Result{Proceed: true, Entry: e}
	}
	switch e.State {
	case RequestBegun:
		return Result{Code: pimcode.InProgress, Entry: e}
	case RequestExecuted:
		return Result{Code: e.Code, Entry: e}
	default:
		return Result{Code: pimcode.OutcomeUnknown, Entry: e}
	}
}

// endRequest records how an attempt ended. RequestExecuted may still replace
// RequestOutcomeUnknown; nothing replaces RequestExecuted or RequestNotExecuted.
func (s *State) endRequest(c EndRequest) Result {
	entry, ok := s.Journal[c.RequestID]
	if !ok || entry.Attempt != c.Attempt || entry.State == RequestExecuted || entry.State == RequestNotExecuted {
		return Result{Entry: entry}
	}
	if entry.State == RequestOutcomeUnknown && c.State != RequestExecuted {
		return Result{Entry: entry}
	}
	entry.State = c.State
	entry.Code = c.Code
	entry.Answer = c.Answer
	if len(c.Answer) > MaxAnswerBytes {
		entry.Answer = nil
		entry.Code = pimcode.AnswerNotKept
	}
	s.Journal[c.RequestID] = entry
	return Result{Entry: entry}
}
