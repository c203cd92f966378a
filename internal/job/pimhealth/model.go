// Package pimhealth estimates which hosts are faulty. For each host it holds one figure, the evidence: the logarithm of
// how much more likely the recent ends of runs, stalls and slow runs are on a faulty host than on a healthy one. A host
// with much evidence is avoided for a while and then probed. The package reads no clock and is deterministic.
package pimhealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Status tells which runs a host may get.
	Status uint8

	// Outcome is what the end of a run says about its host.
	Outcome uint8

	// Symptom is an observation that makes a host avoided at once.
	Symptom string

	// Change is a change of a host's status. Evidence and Threshold are in natural logarithms, Backoff is how long the host
	// is avoided before it is probed.
	Change struct {
		Host                string
		Status              Status
		Why                 Symptom
		Evidence, Threshold float64
		Backoff             time.Duration
	}

	// Model holds what was learned about all hosts. An observation takes constant time, or, for a job of which a task has
	// failed, a pass over up to maxHostsOfJob hosts on which the job has run.
	Model struct {
		hosts map[string]*hostRecord
		jobs  map[string]*jobRecord
		// jobOrder holds the jobs in the order in which they were added, and may hold jobs that were forgotten.
		jobOrder []string
		// fleetEnds and fleetFailures are the ends on inconspicuous hosts, with halving weights.
		fleetEnds, fleetFailures decaying
		// inconspicuous is the evidence up to which the ends on a host count for the share of tasks that fail, which is
		// computed anew at refreshAt.
		inconspicuous float64
		refreshAt     time.Duration
		// ends counts the ends of runs on all hosts.
		ends decaying
		// suspects are the hosts that are avoided or probed.
		suspects map[string]*hostRecord
		changes  []Change
	}

	hostRecord struct {
		evidence decaying
		// ends counts the ends of runs, for their rate.
		ends         decaying
		status       Status
		backoffUntil time.Duration
		doublings    int
		avoidedAt    time.Duration
		// probesDone counts the probes in a row that were successful.
		probesDone int
	}

	// jobRecord holds the ends of a job by host, in the order in which they were added.
	jobRecord struct {
		hosts  []*jobOnHost
		failed bool
	}

	// jobOnHost counts the ends of a job on a host. Suspicion is the evidence of these ends if the job is sound, and evidence
	// the part of it that was added to the evidence of the host. Failures and done are the counts with the weight of the
	// host.
	jobOnHost struct {
		host                string
		failed, ended       int
		suspicion, evidence float64
		failures, done      float64
	}

	// decaying is a number that halves in halfLife. While undated is set it is from an earlier leader, whose clock is
	// another one.
	decaying struct {
		value   float64
		at      time.Duration
		undated bool
	}
)

// Statuses of a host.
const (
	Used Status = iota
	Avoided
	Probed
)

// Outcomes of a run.
const (
	Done Outcome = iota
	Failed
	Refused
)

// Symptoms.
const (
	Failures Symptom = "runs fail"
	Stalled  Symptom = "a run makes no progress"
	Slow     Symptom = "runs are slow"
	Healthy  Symptom = "probes are done"
	Expired  Symptom = "backoff has ended"
	Outdated Symptom = "evidence is outdated"
)

const (
	// faultyShare is the share of tasks that a faulty host fails. Source: the platform's specification, 0.4 to 0.5.
	faultyShare = 0.45
	// refusedEvidence is the evidence of a refused start. Healthy hosts refuse starts too, for lack of room.
	refusedEvidence = 1.0
	// halfLife is about twice the time for which a host is faulty, so that older evidence counts little.
	halfLife = 10 * time.Second
	// alarmInterval is about the time after which a healthy host reaches the threshold by chance. An alarm costs 3 to 4 s,
	// and healthy hosts are to be avoided for less than 0.2% of the time. At 4,000 s fewer faulty hosts are found.
	alarmInterval = 2000 * time.Second
	// minThreshold takes three failed jobs in a row where runs end rarely.
	minThreshold = 6.5
	// priorShare is the share of tasks that fail on healthy hosts while there are few ends, priorEnds its weight. Callers'
	// tasks fail in 3 to 5 of 100 cases.
	priorShare, priorEnds    = 0.04, 50.0
	minFleetShare, maxFailed = 0.02, 0.3
	// unsoundJobs is the assumed share of jobs of whose tasks flakyShare fail for their own reasons, and that of jobs of
	// whose tasks poisonedShare do. Two failures on other hosts make a job most likely one of these.
	unsoundJobs, flakyShare, poisonedShare = 0.03, 0.4, 0.95
	// faultyHosts is the share of hosts that is assumed to be faulty at a time.
	faultyHosts = 0.05
	// maxHostWeight is how many ends of a job on a host count at most, so that a single faulty host doesn't make a job
	// look poisoned. Less than minElsewhere failures are an error of rounding.
	maxHostWeight, minElsewhere = 2.0, 0.001
	minBackoff                  = 2 * time.Second
	maxBackoff                  = 16 * time.Second
	maxBackoffDoublings         = 3
	// probesToPass successful probes in a row end the probing. A host that fails 0.45 of its tasks passes three in one
	// of six cases, and is found again soon, since half of the threshold remains as evidence.
	probesToPass = 3
	// maxAvoidedShare is the share of the hosts of a service, rounded up, that may be avoided or probed at a time. Up to
	// 0.14 of all hosts are faulty at a time.
	maxAvoidedShare = 0.2
	// maxThresholds limits the evidence, in multiples of the threshold. A host that is not probed for lack of small tasks
	// is used again when the evidence is below half of the threshold, that is within two half-lives.
	maxThresholds = 2.0
	maxJobs       = 2000
	// minInconspicuous is less than the evidence of a failure: a failure counts, and what follows soon does not, since
	// the host may be faulty. Healthy hosts fail independently, so that this leaves their share as it is.
	minInconspicuous = 1.0
	refreshInterval  = time.Second
	maxHostsOfJob    = 64
)

// String returns the name of the status in the log.
func (s Status) String() string { return [...]string{"used", "avoided", "probed"}[s] }

// New returns a model without observations.
func New() *Model {
	return &Model{
		hosts: map[string]*hostRecord{}, jobs: map[string]*jobRecord{}, suspects: map[string]*hostRecord{},
		inconspicuous: minInconspicuous,
	}
}

func (d *decaying) get(now time.Duration) float64 {
	if d.undated {
		d.at, d.undated = now, false
	}
	if now > d.at {
		d.value *= math.Exp2(-float64(now-d.at) / float64(halfLife))
		d.at = now
	}
	return d.value
}

func (d *decaying) add(amount float64, now time.Duration) { d.value = max(0, d.get(now)+amount) }

func (m *Model) host(id string) *hostRecord {
	if m.hosts[id] == nil {
		m.hosts[id] = &hostRecord{}
	}
	return m.hosts[id]
}

// fleetShare returns the share of tasks that fail on inconspicuous hosts.
func (m *Model) fleetShare(now time.Duration) float64 {
	ends, failures := m.fleetEnds.get(now), m.fleetFailures.get(now)
	return min(maxFailed, max(minFleetShare, (failures+priorEnds*priorShare)/(ends+priorEnds)))
}

// threshold returns the evidence from which a host is avoided. It rises with the rate of ends, since each of them is a
// chance for a false alarm. The rate of a host falls while it is avoided, so that the mean of all hosts counts too.
func (m *Model) threshold(h *hostRecord, now time.Duration) float64 {
	ends := max(h.ends.get(now), m.ends.get(now)/float64(max(1, len(m.hosts))))
	rate := ends * math.Ln2 / halfLife.Seconds()
	return max(minThreshold, math.Log(max(1, rate*alarmInterval.Seconds())))
}

// OnEnd records the end of a run of a job on a host. A refused start counts as a failure of the job: one that all hosts
// refuse says nothing about them.
func (m *Model) OnEnd(id, job string, outcome Outcome, now time.Duration) {
	h, fleet := m.host(id), m.fleetShare(now)
	record := m.jobRecord(job)
	on := record.on(id)
	on.ended++
	h.ends.add(1, now)
	m.ends.add(1, now)
	if outcome != Refused && h.status == Used && h.evidence.get(now) <= m.inconspicuous {
		m.fleetEnds.add(1, now)
		if outcome == Failed {
			m.fleetFailures.add(1, now)
		}
	}
	switch outcome {
	case Done:
		// Whatever share of the job's tasks fail on healthy hosts, a faulty one lets 1-faultyShare of the others pass.
		gained := math.Log(1 - faultyShare)
		on.suspicion, on.evidence = max(0, on.suspicion+gained), max(0, on.evidence+gained)
		h.evidence.add(gained, now)
	case Failed:
		on.suspicion = maxEvidence(fleet)
	case Refused:
		on.suspicion = min(maxEvidence(fleet), on.suspicion+refusedEvidence)
	}
	if outcome != Done {
		on.failed++
		record.failed = true
	}
	if record.failed {
		m.weighJob(record, fleet, now)
	}
	if outcome != Refused {
		m.onProbe(id, h, outcome == Done, now)
	}
}

// maxEvidence returns the evidence of a failed task of a job of which other hosts fail a share. All failures of a job on
// one host count no more than this, so that one job never makes a host avoided.
func maxEvidence(elsewhere float64) float64 {
	return math.Log((1 - (1-faultyShare)*(1-elsewhere)) / elsewhere)
}

// weighJob compares the hosts on which a job has run, and updates what it adds to their evidence: less after it has failed
// elsewhere, more after it was done elsewhere, since failed runs often end before the others.
func (m *Model) weighJob(record *jobRecord, fleet float64, now time.Duration) {
	failures, done := 0.0, 0.0
	for _, on := range record.hosts {
		weight := min(float64(on.ended), maxHostWeight) / float64(on.ended) * m.trust(on, now)
		on.failures, on.done = weight*float64(on.failed), weight*float64(on.ended-on.failed)
		failures, done = failures+on.failures, done+on.done
	}
	for _, on := range record.hosts {
		h := m.hosts[on.host]
		if h == nil || on.suspicion == 0 {
			continue
		}
		limit := maxEvidence(shareElsewhere(failures-on.failures, done-on.done, fleet))
		gained := min(on.suspicion, limit) - on.evidence
		gained = min(gained, max(0, maxThresholds*m.threshold(h, now)-h.evidence.get(now)))
		on.evidence += gained
		h.evidence.add(gained, now)
		if h.status == Used && h.evidence.get(now) >= m.threshold(h, now) {
			m.avoid(on.host, h, Failures, now)
		}
	}
}

// trust returns the probability that a host is healthy by the evidence from other jobs. A failure on a host that fails
// the tasks of other jobs too says little about the job.
func (m *Model) trust(on *jobOnHost, now time.Duration) float64 {
	h := m.hosts[on.host]
	if h == nil {
		return 1
	}
	return 1 / (1 + faultyHosts*math.Exp(h.evidence.get(now)-on.evidence))
}

// jobRecord returns the record of a job. Beyond maxJobs jobs the oldest ones are dropped.
func (m *Model) jobRecord(job string) *jobRecord {
	record := m.jobs[job]
	if record != nil {
		return record
	}
	for len(m.jobs) >= maxJobs {
		delete(m.jobs, m.jobOrder[0])
		m.jobOrder = m.jobOrder[1:]
	}
	if len(m.jobOrder) >= 2*maxJobs {
		m.jobOrder = slices.DeleteFunc(m.jobOrder, func(id string) bool { return m.jobs[id] == nil })
	}
	record = &jobRecord{}
	m.jobs[job] = record
	m.jobOrder = append(m.jobOrder, job)
	return record
}

// on returns the counts of a host. Beyond maxHostsOfJob hosts they are not kept, and failures say nothing about the host.
func (r *jobRecord) on(host string) *jobOnHost {
	for _, on := range r.hosts {
		if on.host == host {
			return on
		}
	}
	on := &jobOnHost{host: host}
	if len(r.hosts) < maxHostsOfJob {
		r.hosts = append(r.hosts, on)
	}
	return on
}

// shareElsewhere returns the share of a job's tasks that fail on other hosts, on which so many have failed and were done.
// A job without failures elsewhere is taken for a sound one, which fails like those of the fleet; otherwise it may be a
// flaky or a poisoned one.
func shareElsewhere(failures, done, fleet float64) float64 {
	if failures < minElsewhere {
		return fleet
	}
	share, total := 0.0, 0.0
	for _, kind := range [...]struct{ share, prior float64 }{
		{fleet, 1 - 2*unsoundJobs}, {max(fleet, flakyShare), unsoundJobs}, {poisonedShare, unsoundJobs},
	} {
		weight := kind.prior * math.Pow(kind.share, failures) * math.Pow(1-kind.share, max(0, done))
		share, total = share+weight*kind.share, total+weight
	}
	return max(fleet, share/max(total, math.SmallestNonzeroFloat64))
}

// OnSymptom records an observation that makes a host avoided at once.
func (m *Model) OnSymptom(id string, symptom Symptom, now time.Duration) {
	h := m.host(id)
	h.evidence.add(max(0, m.threshold(h, now)-h.evidence.get(now)), now)
	if h.status != Avoided {
		m.avoid(id, h, symptom, now)
	}
}

func (m *Model) avoid(id string, h *hostRecord, why Symptom, now time.Duration) {
	if h.status == Used && now-h.avoidedAt > 2*maxBackoff {
		h.doublings = 0
	}
	backoff := min(maxBackoff, minBackoff<<h.doublings)
	h.doublings = min(h.doublings+1, maxBackoffDoublings)
	h.avoidedAt, h.backoffUntil, h.probesDone = now, now+backoff, 0
	m.setStatus(id, h, Avoided, why, now, backoff)
}

func (m *Model) setStatus(id string, h *hostRecord, status Status, why Symptom, now, backoff time.Duration) {
	h.status = status
	if delete(m.suspects, id); status != Used {
		m.suspects[id] = h
	}
	m.changes = append(m.changes, Change{
		Host: id, Status: status, Why: why, Evidence: h.evidence.get(now), Threshold: m.threshold(h, now), Backoff: backoff,
	})
}

// onProbe counts the end of a run on a host that is probed. Runs that started before are as good as probes.
func (m *Model) onProbe(id string, h *hostRecord, done bool, now time.Duration) {
	switch {
	case h.status != Probed:
	case !done:
		m.avoid(id, h, Failures, now)
	default:
		if h.probesDone++; h.probesDone >= probesToPass {
			h.evidence = decaying{value: min(h.evidence.get(now), m.threshold(h, now)/2), at: now}
			m.setStatus(id, h, Used, Healthy, now, 0)
		}
	}
}

// Select returns the statuses of the hosts that are not to be used as others are. ServiceOf returns the service of a host
// that may get runs, or false, and sizes has the number of such hosts of each service. If too many hosts of a service
// are suspect, only the worst are avoided.
func (m *Model) Select(serviceOf func(host string) (string, bool), sizes map[string]int, now time.Duration) map[string]Status {
	suspects := map[string][]string{}
	for id := range m.suspects {
		if service, ok := serviceOf(id); ok {
			suspects[service] = append(suspects[service], id)
		}
	}
	selected := map[string]Status{}
	for service, ids := range suspects {
		slices.SortFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(m.hosts[b].evidence.get(now), m.hosts[a].evidence.get(now)), cmp.Compare(a, b))
		})
		for _, id := range ids[:min(len(ids), int(math.Ceil(maxAvoidedShare*float64(sizes[service]))))] {
			selected[id] = m.hosts[id].status
		}
	}
	return selected
}

// Tick begins the probing of hosts whose backoff has ended, and ends that of hosts that got no probe for long.
func (m *Model) Tick(now time.Duration) {
	if now >= m.refreshAt {
		m.refresh(now)
	}
	for _, id := range slices.Sorted(maps.Keys(m.suspects)) {
		switch h := m.suspects[id]; {
		case h.status == Avoided && now >= h.backoffUntil:
			m.setStatus(id, h, Probed, Expired, now, 0)
		case h.status == Probed && h.evidence.get(now) < m.threshold(h, now)/2:
			m.setStatus(id, h, Used, Outdated, now, 0)
		}
	}
}

// refresh computes the evidence of inconspicuous hosts. The better half of all hosts always belongs to them, so that the
// share is learned even if tasks fail so often that most hosts have some evidence.
func (m *Model) refresh(now time.Duration) {
	m.refreshAt = now + refreshInterval
	evidence := make([]float64, 0, len(m.hosts))
	for _, h := range m.hosts {
		evidence = append(evidence, h.evidence.get(now))
	}
	slices.Sort(evidence)
	m.inconspicuous = minInconspicuous
	if len(evidence) > 0 {
		m.inconspicuous = max(minInconspicuous, evidence[len(evidence)/2])
	}
}

// HasSuspects reports whether a host is avoided or probed.
func (m *Model) HasSuspects() bool { return len(m.suspects) > 0 }

// IsSuspect reports whether a host is avoided or probed, whatever the limit on their number.
func (m *Model) IsSuspect(id string) bool { return m.suspects[id] != nil }

// TakeChanges returns the changes of status since the last call.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// ForgetJob removes a job that has ended. What it has added to the evidence of hosts remains.
func (m *Model) ForgetJob(job string) { delete(m.jobs, job) }

// ForgetHost removes a host that has left or restarted.
func (m *Model) ForgetHost(id string) {
	delete(m.hosts, id)
	delete(m.suspects, id)
}
