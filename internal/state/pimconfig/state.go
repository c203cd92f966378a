// Package pimconfig implements the replicated state machine of the configuration group: the
// manifest in effect, the operators' marks on failure domains, the members, and which failure
// domain owns which task. It is deterministic: the same entries give the same state.
package pimconfig

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimcodec"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimmanifest"
)

type (
	// TaskID identifies a task: a replica of a service or a task of a batch job. Job is the
	// name of the service or job.
	TaskID struct {
		Job   string `json:"job" msgpack:"j"`
		Index int    `json:"index" msgpack:"i"`
	}

	// Member is an entry daemon. Its ID consists of its name and a nonce stored in its data
	// folder, so a host that lost its disk rejoins as a different member.
	Member struct {
		ID          string `json:"id" msgpack:"i"`
		Name        string `json:"name" msgpack:"n"`
		Domain      string `json:"failure-domain" msgpack:"d"`
		PeerAddress string `json:"peer-address" msgpack:"p"`
		HTTPAddress string `json:"http-address" msgpack:"h"`
	}

	// Mark records whether operators took a failure domain out of service. Number orders the
	// marks of a failure domain; Version is the configuration version that set it.
	Mark struct {
		OutOfService bool   `json:"out" msgpack:"o"`
		Number       uint64 `json:"number" msgpack:"n"`
		Version      uint64 `json:"version" msgpack:"v"`
	}

	// Owner is the failure domain that may run a task. Epoch is the configuration version
	// that assigned this owner, so it increases with each new owner and is never reused.
	// Releasing is set while the owner is asked to give up the task. Checkpoint is the highest
	// checkpoint number that an earlier owner reported.
	Owner struct {
		Domain     string `msgpack:"d"`
		Epoch      uint64 `msgpack:"e"`
		Releasing  bool   `msgpack:"r,omitempty"`
		Checkpoint uint64 `msgpack:"c,omitempty"`
	}

	// CommittedManifest identifies a manifest and the configuration version that committed it.
	CommittedManifest struct {
		Number  uint64 `msgpack:"n"`
		Digest  string `msgpack:"d"`
		Version uint64 `msgpack:"v"`
	}

	// State is the whole configuration. Its snapshot stores the exported fields under their
	// Go names, so these must not be renamed.
	State struct {
		// Version is the log index of the last applied entry.
		Version   uint64
		ClusterID string
		// Current, Content and Manifest describe the manifest in effect; Content is its source text.
		Current  CommittedManifest
		Content  []byte
		Manifest pimmanifest.Manifest
		// History holds the newest committed manifests by rising number, so that a resent
		// commit gets its first result again.
		History []CommittedManifest
		// Marks is keyed by failure domain, Members by member id. Owners has no entry for a task without an owner.
		Marks   map[string]Mark
		Members map[string]Member
		Owners  map[TaskID]Owner
		// Finished holds the finished tasks of each declared batch job, by job name and task index.
		Finished map[string]map[int]bool
	}

	// Command is an entry of the configuration log.
	Command interface{ isCommand() }

	// CommitManifest puts a manifest into effect. Base is the number of the manifest that it
	// must replace; zero accepts any lower number.
	CommitManifest struct {
		Number  uint64 `msgpack:"n"`
		Base    uint64 `msgpack:"b"`
		Content []byte `msgpack:"c"`
	}

	// MarkDomain takes a failure domain out of service or back in. Number must be higher than
	// that of the domain's last mark, except in a resend of that mark. Zero takes the next
	// number, or has no effect if the domain is in that state already.
	MarkDomain struct {
		Domain       string `msgpack:"d"`
		OutOfService bool   `msgpack:"o"`
		Number       uint64 `msgpack:"n"`
	}

	// AddMember adds a member and removes the one that it replaces, which has the same name.
	AddMember struct {
		Member Member `msgpack:"m"`
	}

	// OwnerChange sets the owner of a task, or removes it with Delete, if the task's epoch is
	// still ExpectedEpoch. An Owner with Epoch zero is a new owner and gets a new epoch.
	// Finished records that the batch task has finished for good.
	OwnerChange struct {
		Task          TaskID `msgpack:"t"`
		ExpectedEpoch uint64 `msgpack:"x"`
		Owner         Owner  `msgpack:"o"`
		Delete        bool   `msgpack:"d,omitempty"`
		Finished      bool   `msgpack:"f,omitempty"`
	}

	// ChangeOwners changes the owners of several tasks, each independently of the others.
	ChangeOwners struct {
		Changes []OwnerChange `msgpack:"c"`
	}

	// Result is the result of a command. On success Version and Number are those of the
	// committed manifest or mark; otherwise Code and Detail give the reason.
	Result struct {
		Code    pimcode.Code `msgpack:"c"`
		Version uint64       `msgpack:"v"`
		Number  uint64       `msgpack:"n"`
		Digest  string       `msgpack:"d,omitempty"`
		Detail  string       `msgpack:"t,omitempty"`
	}
)

// maxHistoryEntries limits State.History. A resent commit that is older is rejected as stale.
const maxHistoryEntries = 20_000

var codec = pimcodec.NewCodec([]pimcodec.Kind{
	{Name: "commit-manifest", Zero: CommitManifest{}},
	{Name: "mark-domain", Zero: MarkDomain{}},
	{Name: "add-member", Zero: AddMember{}},
	{Name: "change-owners", Zero: ChangeOwners{}},
})

func (CommitManifest) isCommand() {}
func (MarkDomain) isCommand()     {}
func (AddMember) isCommand()      {}
func (ChangeOwners) isCommand()   {}

// CompareTasks orders task ids by job, then index.
func CompareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// NewState returns the first state of a cluster with the given initial members.
func NewState(clusterID string, members []Member) *State {
	s := &State{ClusterID: clusterID}
	s.initMaps()
	for _, member := range members {
		s.Members[member.ID] = member
	}
	return s
}

func (s *State) initMaps() {
	if s.Marks == nil {
		s.Marks = map[string]Mark{}
	}
	if s.Members == nil {
		s.Members = map[string]Member{}
	}
	if s.Owners == nil {
		s.Owners = map[TaskID]Owner{}
	}
	if s.Finished == nil {
		s.Finished = map[string]map[int]bool{}
	}
}

// Encode returns a command as the data of a log entry.
func Encode(command Command) ([]byte, error) { return codec.Encode(command) }

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) { return msgpack.Marshal(s) }

// Restore decodes a state that Snapshot returned; empty data gives an empty state.
func Restore(data []byte) (*State, error) {
	s := &State{}
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, s); err != nil {
			return nil, pimcode.New(pimcode.LogCorrupt, "configuration snapshot: %v", err)
		}
	}
	s.initMaps()
	return s, nil
}

// Apply applies the entry at the given log index. Result.Code tells why a command had no effect.
func (s *State) Apply(index uint64, data []byte) Result {
	s.Version = index
	command, err := codec.Decode(data)
	if err != nil {
		return Result{Code: pimcode.Of(err), Detail: err.Error()}
	}
	switch c := command.(type) {
	case CommitManifest:
		return s.commitManifest(c)
	case MarkDomain:
		return s.markDomain(c)
	case AddMember:
		s.addMember(c.Member)
	case ChangeOwners:
		s.changeOwners(c.Changes)
	}
	return Result{Version: s.Version}
}

func (s *State) commitManifest(c CommitManifest) Result {
	digest := pimmanifest.Digest(c.Content)
	if known, ok := s.committedManifest(c.Number); ok {
		if known.Digest == digest {
			return Result{Version: known.Version, Number: known.Number, Digest: known.Digest}
		}
		return Result{Code: pimcode.ManifestConflict, Version: known.Version, Number: known.Number, Digest: known.Digest, Detail: "a manifest with different content was committed with this number"}
	}
	stale := c.Number <= s.Current.Number || (c.Base != 0 && c.Base != s.Current.Number)
	if stale {
		return Result{Code: pimcode.ManifestStale, Version: s.Current.Version, Number: s.Current.Number, Digest: s.Current.Digest, Detail: "the manifest in effect has the same or a higher number, or is not the given base"}
	}
	manifest, faults := pimmanifest.Parse(c.Content)
	if len(faults) > 0 {
		return Result{Code: pimcode.ManifestInvalid, Detail: faults[0].String()}
	}
	s.Manifest, s.Content = manifest, c.Content
	s.Current = CommittedManifest{Number: c.Number, Digest: digest, Version: s.Version}
	s.History = append(s.History, s.Current)
	if len(s.History) > maxHistoryEntries {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistoryEntries)
	}
	s.dropUndeclaredFinished()
	return Result{Version: s.Version, Number: c.Number, Digest: digest}
}

func (s *State) committedManifest(number uint64) (CommittedManifest, bool) {
	at, ok := slices.BinarySearchFunc(s.History, number, func(a CommittedManifest, n uint64) int { return cmp.Compare(a.Number, n) })
	if !ok {
		return CommittedManifest{}, false
	}
	return s.History[at], true
}

// dropUndeclaredFinished removes the finished tasks of jobs that the manifest no longer declares.
func (s *State) dropUndeclaredFinished() {
	maps.DeleteFunc(s.Finished, func(job string, _ map[int]bool) bool {
		_, declared := s.Manifest.BatchJobNamed(job)
		return !declared
	})
}

func (s *State) markDomain(c MarkDomain) Result {
	if !slices.Contains(s.Domains(), c.Domain) {
		return Result{Code: pimcode.UnknownDomain, Detail: c.Domain}
	}
	mark := s.Marks[c.Domain]
	if c.Number == 0 && c.OutOfService != mark.OutOfService {
		c.Number = mark.Number + 1
	}
	if c.Number == 0 {
		c.Number = mark.Number
	}
	if c.Number == mark.Number && c.OutOfService == mark.OutOfService {
		return Result{Version: mark.Version, Number: mark.Number}
	}
	if c.Number <= mark.Number {
		return Result{Code: pimcode.ChangeConflict, Version: mark.Version, Number: mark.Number, Detail: "a different mark was set with this or a higher number"}
	}
	s.Marks[c.Domain] = Mark{OutOfService: c.OutOfService, Number: c.Number, Version: s.Version}
	return Result{Version: s.Version, Number: c.Number}
}

func (s *State) addMember(member Member) {
	for id, other := range s.Members {
		if other.Name == member.Name && id != member.ID {
			delete(s.Members, id)
		}
	}
	s.Members[member.ID] = member
}

func (s *State) changeOwners(changes []OwnerChange) {
	for _, change := range changes {
		if s.Owners[change.Task].Epoch != change.ExpectedEpoch {
			continue
		}
		if change.Finished {
			s.recordFinished(change.Task)
		}
		if change.Delete {
			delete(s.Owners, change.Task)
			continue
		}
		owner := change.Owner
		if owner.Epoch == 0 {
			owner.Epoch = s.Version
		}
		s.Owners[change.Task] = owner
	}
}

func (s *State) recordFinished(task TaskID) {
	if s.Finished[task.Job] == nil {
		s.Finished[task.Job] = map[int]bool{}
	}
	s.Finished[task.Job][task.Index] = true
}

// IsFinished reports whether a batch task has finished and must not run again.
func (s *State) IsFinished(task TaskID) bool { return s.Finished[task.Job][task.Index] }

// Domains returns the failure domains that have members, sorted by name.
func (s *State) Domains() []string {
	seen := map[string]bool{}
	for _, member := range s.Members {
		seen[member.Domain] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// MembersOf returns the members in a failure domain, or all for "", sorted by id.
func (s *State) MembersOf(domain string) []Member {
	var members []Member
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		if member := s.Members[id]; domain == "" || member.Domain == domain {
			members = append(members, member)
		}
	}
	return members
}

// IsOutOfService reports whether operators marked a failure domain as out of service.
func (s *State) IsOutOfService(domain string) bool { return s.Marks[domain].OutOfService }
