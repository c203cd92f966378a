// Package pimcode holds the numbered result codes of pimentoswitch.
//
// One table defines the output of "pimentoswitch errors", the HTTP status of each response and docs/ERRORS.md. A code
// is never reused for another meaning.
package pimcode

import (
	"errors"
	"fmt"
)

type (
	// Code is a result code. OK is zero; every other code is a four-digit number.
	Code int

	// Row describes a code: its kebab-case name, its HTTP status, its meaning and what the reader should do.
	Row struct {
		Code       Code
		Name       string
		HTTPStatus int
		Meaning    string
		Action     string
	}

	// Error is a result code with a text that describes the occurrence.
	Error struct {
		Code   Code
		Detail string
	}
)

// Result codes by area: 10xx client requests, 11xx routing, 12xx journal, 13xx manifests and marks, 14xx placement and
// jobs, 15xx state and membership, 16xx settings and the process, 17xx findings of the check of a configuration.
const (
	OK Code = 0

	BadRequest           Code = 1001
	TooLarge             Code = 1002
	UnknownPath          Code = 1003
	Draining             Code = 1004
	Overloaded           Code = 1005
	DeadlineMissing      Code = 1006
	RequestIDWithoutHome Code = 1007
	UnknownDomain        Code = 1008
	CallOutdated         Code = 1009
	DeadlineExceeded     Code = 1101
	NoEndpoint           Code = 1102
	QueueFull            Code = 1103
	WaitTooLong          Code = 1104
	EndpointRefused      Code = 1105
	AnswerIncomplete     Code = 1106
	AnswerMismatched     Code = 1107
	ConnectionLost       Code = 1108
	DomainOutOfService   Code = 1109
	RetryBudgetSpent     Code = 1110
	ConnectFailed        Code = 1111
	InProgress           Code = 1201
	OutcomeUnknown       Code = 1202
	RequestIDReused      Code = 1203
	JournalFull          Code = 1204
	HomeUnreachable      Code = 1205
	AnswerNotKept        Code = 1206
	ManifestInvalid      Code = 1301
	ManifestConflict     Code = 1302
	ManifestStale        Code = 1303
	ManifestMissing      Code = 1304
	ChangeConflict       Code = 1305
	MarkOutdated         Code = 1306
	LeaseExpired         Code = 1401
	WorkerUnknown        Code = 1402
	QueueUnknown         Code = 1403
	JobUnknown           Code = 1404
	JobInvalid           Code = 1405
	KeyUnknown           Code = 1406
	OrganisationFull     Code = 1407
	NotLeader            Code = 1501
	NoLeader             Code = 1502
	LeadershipLost       Code = 1503
	LogCorrupt           Code = 1504
	FolderLocked         Code = 1505
	ClusterMismatch      Code = 1506
	DiskFailed           Code = 1507
	CallTimeout          Code = 1508
	MembershipPending    Code = 1509
	FrameTooLarge        Code = 1510
	UnknownMessage       Code = 1511
	SettingInvalid       Code = 1601
	AddressInUse         Code = 1602
	ProgramFailed        Code = 1603
	PromiseBroken        Code = 1604
	VersionNotHigher     Code = 1701
	ComparisonUnreadable Code = 1702
	FieldUnknown         Code = 1703
	EntryAmbiguous       Code = 1704
	QueueUnreachable     Code = 1705
	ServiceUnused        Code = 1706
	OrganisationUnused   Code = 1707
	LimitContradictory   Code = 1708
	QuotaUnusable        Code = 1709
	WeightZero           Code = 1710
	ConfigDifference     Code = 1711
)

var table = []Row{
	{BadRequest, "bad-request", 400, "The body or a field can't be read.", "Correct the field that the text names."},
	{TooLarge, "too-large", 413, "The body is larger than the limit.", "Send less at once."},
	{UnknownPath, "unknown-path", 404, "No such path or method.", "See docs/API.md."},
	{Draining, "draining", 503, "This daemon is stopping and accepts no new work.", "Try another daemon; the balancer does so automatically."},
	{Overloaded, "overloaded", 503, "A bounded queue of this daemon is full.", "Retry after the time in retry-after-millis."},
	{DeadlineMissing, "deadline-missing", 400, "The request gives no positive deadline-millis.", "Give one."},
	{RequestIDWithoutHome, "request-id-home", 400, "A non-idempotent request id must begin with its home failure domain and a dot.", "Use such an id, or send none and take the one in the answer."},
	{UnknownDomain, "unknown-failure-domain", 404, "No daemon of that failure domain is a member.", "See pimentoswitch domain list."},
	{CallOutdated, "call-outdated", 503, "The call was read so long after it was sent that its caller has given it up.", "Send it again if it is still meant."},
	{DeadlineExceeded, "deadline-exceeded", 504, "The deadline passed before the request ended.", "Read the outcome: not-run may be sent again, unknown only if idempotent."},
	{NoEndpoint, "no-endpoint", 503, "No endpoint of the service accepts work now.", "Retry after the time in retry-after-millis."},
	{QueueFull, "queue-full", 503, "The queue of the service is full.", "Retry after the time in retry-after-millis."},
	{WaitTooLong, "wait-too-long", 503, "The expected wait is longer than the deadline.", "Retry after the time in retry-after-millis, or give a later deadline."},
	{EndpointRefused, "endpoint-refused", 503, "The endpoint reported that it did not run the request.", "Retry after the time in retry-after-millis."},
	{AnswerIncomplete, "answer-incomplete", 502, "The response ended before it was complete.", "The outcome is unknown; only an idempotent request may be sent again."},
	{AnswerMismatched, "answer-crossed", 502, "The response belongs to another request.", "The outcome is unknown; only an idempotent request may be sent again."},
	{ConnectionLost, "connection-lost", 502, "The connection broke after the request was sent.", "The outcome is unknown; only an idempotent request may be sent again."},
	{DomainOutOfService, "failure-domain-out", 503, "The failure domain is out of service.", "Nothing; other failure domains take the work."},
	{RetryBudgetSpent, "retry-budget-spent", 503, "Too many retries relative to the recent successes.", "Retry after the time in retry-after-millis."},
	{ConnectFailed, "connect-failed", 503, "No connection to the endpoint could be opened, so nothing was sent.", "Retry after the time in retry-after-millis."},
	{InProgress, "in-progress", 409, "An earlier attempt with this request id has not ended.", "Retry later with the same id."},
	{OutcomeUnknown, "outcome-unknown", 409, "It is unknown whether the request ran; it is never run again.", "Query the service itself for the outcome."},
	{RequestIDReused, "request-id-reused", 409, "The id was used before with other content.", "Use a new id."},
	{JournalFull, "journal-full", 503, "The journal of the home failure domain is full.", "Retry after the time in retry-after-millis."},
	{HomeUnreachable, "home-unreachable", 503, "The journal of the request's home failure domain can't be reached.", "Retry with the same id; the request is not run elsewhere."},
	{AnswerNotKept, "answer-not-kept", 200, "The request ran; its response was too large to store for repeated requests.", "Query the service itself for the result."},
	{ManifestInvalid, "manifest-invalid", 422, "The manifest has faults; each is listed.", "Correct them; the manifest in effect stays."},
	{ManifestConflict, "manifest-conflict", 409, "Another manifest with this number was accepted first.", "Read it with manifest show and commit on top of it."},
	{ManifestStale, "manifest-stale", 409, "The base version is not the version in effect.", "Read it with manifest show and commit on top of it."},
	{ManifestMissing, "manifest-missing", 404, "No manifest has been committed.", "Commit one."},
	{ChangeConflict, "change-conflict", 409, "Another mark with this number was accepted first.", "Read the marks with domain list and decide again."},
	{MarkOutdated, "mark-outdated", 503, "Another mark on the failure domain was committed while this one was on its way.", "Decide again."},
	{LeaseExpired, "lease-expired", 409, "The worker's lease expired and its tasks are being reassigned.", "The worker runs until its own lease ends, then stops its tasks and reports again."},
	{WorkerUnknown, "worker-unknown", 404, "The worker has not registered.", "Register first."},
	{QueueUnknown, "queue-unknown", 404, "No queue of the configuration in effect has this address.", "Check host and path."},
	{JobUnknown, "job-unknown", 410, "No such job is known, or it ended long ago.", "Check the id."},
	{JobInvalid, "job-invalid", 400, "The job's body or one of its steps can't be read or can't be executed.", "Correct the field that the text names."},
	{KeyUnknown, "key-unknown", 401, "The queue requires a key, and the given one is none of the configuration in effect.", "Give a key of the organisation; ask the operator if it was withdrawn."},
	{OrganisationFull, "organisation-queue-full", 429, "The job can't end in time because of the waiting jobs or the quota of its organisation.", "Retry after the time in Retry-After; submit fewer jobs, or ask the operator for a higher weight or quota."},
	{NotLeader, "not-leader", 503, "This daemon does not lead the group.", "Nothing; daemons retry with the leader automatically."},
	{NoLeader, "no-leader", 503, "The group has no reachable leader.", "Retry after the time in retry-after-millis."},
	{LeadershipLost, "leadership-lost", 503, "The leader changed before the entry was committed.", "Repeat the call; a change with the same number and content is applied once."},
	{LogCorrupt, "log-corrupt", 500, "A record in the middle of the log fails its checksum.", "Replace the host's data folder; the host joins again automatically."},
	{FolderLocked, "folder-locked", 500, "Another process uses the data folder.", "Stop it, or give another folder."},
	{ClusterMismatch, "cluster-mismatch", 409, "The peer belongs to another cluster.", "Check the peers setting."},
	{DiskFailed, "disk-failed", 500, "A write or sync of the data folder failed.", "Replace the disk; the daemon has stopped so that it acknowledges nothing."},
	{CallTimeout, "call-timeout", 503, "A peer did not answer in time.", "Retry after the time in retry-after-millis."},
	{MembershipPending, "membership-pending", 503, "A membership change is under way.", "Nothing; the change is retried."},
	{FrameTooLarge, "frame-too-large", 413, "A peer frame is larger than the limit.", "Check that only daemons use the peer address."},
	{UnknownMessage, "unknown-message", 400, "A peer message has an unknown kind.", "Run the same version on all daemons."},
	{SettingInvalid, "setting-invalid", 400, "A flag or environment variable has a bad value.", "Correct the value that the text names."},
	{AddressInUse, "address-in-use", 500, "The address can't be listened on.", "Stop the other process, or give another address."},
	{ProgramFailed, "program-failed", 500, "The program could not continue.", "See the text."},
	{PromiseBroken, "promise-broken", 500, "A run broke a promise; the summary names it.", "File the summary and the seed as an issue."},
	{VersionNotHigher, "version-not-higher", 422, "The version of the configuration is not higher than the one in force.", "Give a higher version."},
	{ComparisonUnreadable, "comparison-unreadable", 422, "The configuration to compare with can't be read or is invalid.", "Check the address or the file that the text names, or check without a comparison."},
	{FieldUnknown, "field-unknown", 200, "The daemons ignore a field of the configuration.", "Correct its name or remove it."},
	{EntryAmbiguous, "entry-ambiguous", 200, "An entry of the configuration can't be told from another by its name.", "Give each entry a name of its own."},
	{QueueUnreachable, "queue-unreachable", 200, "No call can submit a job to the queue.", "Correct the host, the prefix or the keys that the text names."},
	{ServiceUnused, "service-unused", 200, "No queue names the service.", "Add a queue or remove the service."},
	{OrganisationUnused, "organisation-unused", 200, "No job can belong to the organisation.", "Give it a key, and let a queue require keys."},
	{LimitContradictory, "limit-contradictory", 200, "A limit of a queue can't be met or is replaced by another.", "Correct the limit that the text names."},
	{QuotaUnusable, "quota-unusable", 200, "A quota is smaller than a usual task, or one of its amounts prevents the use of another.", "Check the units: thousandths of a core, and MB."},
	{WeightZero, "weight-zero", 200, "An organisation has weight 0.", "Give it a weight of at least 1 if its jobs need a service guarantee."},
	{ConfigDifference, "config-difference", 200, "An entry differs from the configuration in force.", "Read the effect and decide whether it is meant."},
}

// Table returns all rows in the order of their codes.
func Table() []Row { return table }

// Lookup returns the row of a code. OK has the name "ok" and HTTP status 200. A code that this version doesn't know has
// the name "unknown" and HTTP status 500.
func Lookup(code Code) Row {
	for _, row := range table {
		if row.Code == code {
			return row
		}
	}
	if code == OK {
		return Row{Code: OK, Name: "ok", HTTPStatus: 200}
	}
	return Row{Code: code, Name: "unknown", HTTPStatus: 500}
}

// String returns the kebab-case name of the code.
func (c Code) String() string { return Lookup(c).Name }

// New returns an Error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the detail, as in "1103 queue-full: ...".
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail) }

// Of returns the code of err: OK for nil, ProgramFailed for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ProgramFailed
}
