// Package pimcheck examines a configuration before it is put into effect: for entries that have no effect, for limits
// that contradict each other, and for what it changes.
//
// It is pure: it reads no file and no clock, and knows no name on the wire. It expects a configuration that the
// daemons accept, except that attempts may be below 1.
package pimcheck

import "github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"

type (
	// Severity orders findings by what they mean for the operator.
	Severity uint8

	// Kind is the kind of an entry of a configuration.
	Kind uint8

	// Entry names an entry of a configuration. Index is its position among the queues or organisations, or -1 for a
	// service and for an entry that the checked configuration does not have.
	Entry struct {
		Kind  Kind
		Name  string
		Index int
	}

	// Finding is one result of a check. Effect tells what a difference changes for callers and jobs.
	Finding struct {
		Severity Severity
		Code     pimcode.Code
		Entry    Entry
		Text     string
		Effect   string
	}
)

// Severities, the gravest first.
const (
	// Error means that the daemons would reject or ignore the configuration.
	Error Severity = iota
	// Warning means that the daemons would accept what is probably a mistake.
	Warning
	Difference
)

// Kinds of entries. Whole is the configuration itself.
const (
	Whole Kind = iota
	Queue
	Service
	Organisation
)

var severityNames = [...]string{"error", "warning", "difference"}

// String returns the severity's name.
func (s Severity) String() string { return severityNames[s] }

func warn(entry Entry, code pimcode.Code, text string) Finding {
	return Finding{Severity: Warning, Code: code, Entry: entry, Text: text}
}
