package pimcore

import (
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/state/pimconfig"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimdomain"
)

type (
	// Status is a node's view of the cluster. Requests counts the requests in progress at
	// this daemon, Content is the text of the manifest, OwnedTasks counts the tasks assigned
	// to each failure domain, and MembersTable has the members as the configuration stores them.
	Status struct {
		ClusterID    string             `json:"cluster-id"`
		Daemon       string             `json:"daemon"`
		Domain       string             `json:"failure-domain"`
		Version      uint64             `json:"version"`
		ConfigLease  bool               `json:"config-lease"`
		Draining     bool               `json:"draining"`
		Ready        bool               `json:"ready"`
		Requests     int                `json:"requests-under-way"`
		Manifest     ManifestStatus     `json:"manifest"`
		Domains      []DomainStatus     `json:"failure-domains"`
		Members      []MemberStatus     `json:"members"`
		Groups       []GroupStatus      `json:"groups"`
		Content      []byte             `json:"-"`
		BatchJobs    []BatchStatus      `json:"batch-jobs"`
		OwnedTasks   map[string]int     `json:"owned-tasks"`
		MembersTable []pimconfig.Member `json:"-"`
	}

	// ManifestStatus identifies the manifest in effect. Version is the configuration version
	// that committed it.
	ManifestStatus struct {
		Number  uint64 `json:"number"`
		Digest  string `json:"digest"`
		Version uint64 `json:"version"`
	}

	// DomainStatus is the mark of a failure domain, as state "in" or "out" of service, and the
	// name of the daemon that leads its group, empty if unknown.
	DomainStatus struct {
		ID          string `json:"id"`
		State       string `json:"state"`
		MarkNumber  uint64 `json:"mark-number"`
		MarkVersion uint64 `json:"mark-version"`
		Leader      string `json:"leader"`
	}

	// MemberStatus is a member as seen by this daemon. Version is the configuration version
	// that it has applied.
	MemberStatus struct {
		ID        string `json:"id"`
		Domain    string `json:"failure-domain"`
		HTTP      string `json:"http-address"`
		Reachable bool   `json:"heard"`
		Version   uint64 `json:"version"`
	}

	// GroupStatus is this daemon's replica of a consensus group. Commit is a log index.
	GroupStatus struct {
		Name   string `json:"name"`
		Role   string `json:"role"`
		Term   uint64 `json:"term"`
		Commit uint64 `json:"commit"`
		Voters int    `json:"voters"`
	}

	// BatchStatus is the progress of a batch job, in tasks.
	BatchStatus struct {
		Name     string `json:"name"`
		Tasks    int    `json:"tasks"`
		Finished int    `json:"finished"`
	}
)

// Status returns the node's current view of the cluster.
func (n *Node) Status() Status {
	s := Status{
		ClusterID:   n.clusterID,
		Daemon:      n.config.Member.Name,
		Domain:      n.config.Member.Domain,
		Version:     n.state.Version,
		ConfigLease: n.HasConfigLease(),
		Draining:    n.draining,
		Ready:       n.IsServing(),
		Requests:    n.router.Len(),
		Content:     n.state.Content,
		Manifest: ManifestStatus{
			Number: n.state.Current.Number, Digest: n.state.Current.Digest, Version: n.state.Current.Version,
		},
		OwnedTasks:   map[string]int{},
		MembersTable: n.state.MembersOf(""),
	}
	for _, domain := range n.state.Domains() {
		s.Domains = append(s.Domains, n.domainStatus(domain))
	}
	for _, member := range n.state.MembersOf("") {
		s.Members = append(s.Members, n.memberStatus(member))
	}
	for _, name := range n.groupNames() {
		replica := n.groups[name].replica
		s.Groups = append(s.Groups, GroupStatus{
			Name: name, Role: replica.Role().String(), Term: replica.Term(),
			Commit: replica.Commit(), Voters: len(replica.Members().Voters),
		})
	}
	for _, job := range n.state.Manifest.BatchJobs {
		s.BatchJobs = append(s.BatchJobs, BatchStatus{
			Name: job.Name, Tasks: job.Tasks, Finished: len(n.state.Finished[job.Name]),
		})
	}
	for _, owner := range n.state.Owners {
		s.OwnedTasks[owner.Domain]++
	}
	return s
}

// IsServing reports whether the node can answer requests: it is in a cluster, is not
// draining, and knows the leader of a failure domain that is in service.
func (n *Node) IsServing() bool {
	return n.clusterID != "" && !n.draining && n.hasSeenCurrentConfig() && len(n.servingDomains()) > 0 &&
		n.leaderOf(DomainGroup(n.servingDomains()[0])).ID != ""
}

func (n *Node) domainStatus(domain string) DomainStatus {
	mark := n.state.Marks[domain]
	s := DomainStatus{ID: domain, State: "in", MarkNumber: mark.Number, MarkVersion: mark.Version}
	if mark.OutOfService {
		s.State = "out"
	}
	if member, ok := n.state.Members[n.leaderOf(DomainGroup(domain)).ID]; ok {
		s.Leader = member.Name
	}
	return s
}

func (n *Node) memberStatus(member pimconfig.Member) MemberStatus {
	s := MemberStatus{ID: member.ID, Domain: member.Domain, HTTP: member.HTTPAddress, Reachable: n.isReachable(member.ID)}
	if p := n.peers[member.ID]; p != nil {
		s.Version = p.gossip.Version
	}
	if member.ID == n.config.Member.ID {
		s.Version = n.state.Version
	}
	return s
}

// LedGroups returns the names of the groups that this node leads, sorted.
func (n *Node) LedGroups() []string {
	names := slices.Collect(maps.Keys(n.groups))
	names = slices.DeleteFunc(names, func(name string) bool { return !n.groups[name].replica.IsLeader() })
	slices.Sort(names)
	return names
}

// Task returns a task's row from this node's replica of the domain group, and false if the
// node has no such replica or row.
func (n *Node) Task(domain string, id pimconfig.TaskID) (pimdomain.Task, bool) {
	g := n.groups[DomainGroup(domain)]
	if g == nil {
		return pimdomain.Task{}, false
	}
	row, ok := g.tables.Tasks[id]
	return row, ok
}

// IsFinished reports whether the configuration applied by this node records a task as finished.
func (n *Node) IsFinished(id pimconfig.TaskID) bool { return n.state.IsFinished(id) }
