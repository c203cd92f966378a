package pimshare

import (
	"cmp"
	"container/heap"
	"math"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
)

type (
	// Step is a waiting step. Organisation is "" for a job of a public queue. Need is that of one task, Tasks how many
	// wait. Urgency and Due order the steps of an organisation: lower values come first.
	Step struct {
		Organisation string
		Need         pimorganisation.Resources
		Tasks        int
		// Gang means that the tasks start together or not at all.
		Gang    bool
		Urgency int
		Due     int64
	}

	// Queue gives the order of waiting steps of equal priority. The organisation with the lowest normalised share comes
	// first. Its share rises with the tasks that are placed (progressive filling). Steps without an organisation are
	// merged by their deadlines: one comes next if it precedes the next step of the organisation whose turn it is.
	Queue struct {
		shares  *Shares
		history *History
		steps   []Step
		// organisations is a heap of those with steps left, the lowest normalised share on top.
		organisations []*organisationQueue
		public        []int
		// quantum is how far an organisation's normalised share may exceed the next one's, which limits the number
		// of grants in a plan. It is doubled when grantsLeft is used up.
		quantum    float64
		grantsLeft int
		// granted is the step that Next returned last, with the queue that holds it: nil for a public step.
		granted      int
		grantedTasks int
		grantedFrom  *organisationQueue
		grantedLane  lane
	}

	// organisationQueue holds the indexes of an organisation's waiting steps by lane, in their order.
	organisationQueue struct {
		account    *Account
		normalised float64
		lanes      [laneCount][]int
	}

	// lane tells steps with a large demand from those with a small one.
	lane int

	// History holds what each lane of an organisation was recently granted. It is kept from plan to plan. It may be lost:
	// the lanes of an organisation then start equal.
	History struct {
		granted map[string]*[laneCount]float64
	}
)

const (
	narrowLane lane = iota
	wideLane
	laneCount
)

const (
	// quantumsPerShare is how many grants an organisation needs to be granted its whole share of an idle capacity. It
	// bounds the unfairness that one plan adds to an eighth of a share and one task.
	quantumsPerShare = 8
	// minWidthRatio is the ratio of the largest to the smallest demand of an organisation's steps from which these are
	// split into lanes. Below it, the order by deadline delays no step by more than a few of the same size.
	minWidthRatio = 4
	// The quantum is doubled after grantsPerOrganisation grants for each organisation, and at least minGrants, so that
	// filling a large idle deployment takes few grants: each costs a pass over the hosts.
	grantsPerOrganisation = 4
	minGrants             = 256
	// minLaneShare is the part of what an organisation is granted that each of its lanes gets at least while both have
	// waiting steps. The other half is granted by deadline.
	minLaneShare = 0.25
	// maxHistories bounds the memory of histories, at four times the largest known number of organisations.
	maxHistories = 4096
)

// NewHistory returns an empty history.
func NewHistory() *History { return &History{granted: map[string]*[laneCount]float64{}} }

// NewQueue returns the queue of steps of one priority, which are given in the order of a plan without organisations. The
// shares must have an account for each organisation of the steps. Normalised shares only rise while the queue is in use.
func NewQueue(shares *Shares, history *History, steps []Step) *Queue {
	q := &Queue{shares: shares, history: history, steps: steps, granted: -1}
	byName := map[string]*organisationQueue{}
	weights := 0.0
	for i := range steps {
		name := steps[i].Organisation
		if name == "" {
			q.public = append(q.public, i)
			continue
		}
		own := byName[name]
		if own == nil {
			own = &organisationQueue{account: shares.accounts[name], normalised: shares.Normalised(name)}
			byName[name] = own
			weights += effectiveWeight(own.account.Weight)
			q.organisations = append(q.organisations, own)
		}
		own.lanes[narrowLane] = append(own.lanes[narrowLane], i)
	}
	for _, own := range q.organisations {
		q.splitLanes(own)
	}
	q.grantsLeft = q.grantsPerQuantum()
	if weights > 0 {
		q.quantum = 1 / (quantumsPerShare * weights)
	}
	heap.Init(q)
	return q
}

// splitLanes moves the steps with a large demand to the wide lane. The limit is the geometric mean of the smallest and
// the largest demand, so that it does not depend on how many steps of each size wait.
func (q *Queue) splitLanes(own *organisationQueue) {
	smallest, largest := math.Inf(1), 0.0
	for _, i := range own.lanes[narrowLane] {
		demand := q.demand(i)
		smallest, largest = min(smallest, demand), max(largest, demand)
	}
	if largest < minWidthRatio*smallest {
		return
	}
	limit := math.Sqrt(smallest * largest)
	var narrow []int
	for _, i := range own.lanes[narrowLane] {
		if q.demand(i) > limit {
			own.lanes[wideLane] = append(own.lanes[wideLane], i)
		} else {
			narrow = append(narrow, i)
		}
	}
	own.lanes[narrowLane] = narrow
}

// demand returns the dominant share of all waiting tasks of a step.
func (q *Queue) demand(step int) float64 {
	return q.shares.dominant(q.steps[step].Need.Times(int64(q.steps[step].Tasks)))
}

// Next returns the index of the next step and how many of its tasks to place. Placed must be called before the next call.
func (q *Queue) Next() (step, tasks int, ok bool) {
	if len(q.organisations) == 0 {
		if len(q.public) == 0 {
			return 0, 0, false
		}
		return q.grantPublic()
	}
	own := q.organisations[0]
	q.grantedLane = q.nextLane(own)
	next := own.lanes[q.grantedLane][0]
	if len(q.public) > 0 && q.precedes(q.public[0], next) {
		return q.grantPublic()
	}
	q.granted, q.grantedFrom = next, own
	q.grantedTasks = q.steps[next].Tasks
	if !q.steps[next].Gang && len(q.organisations) > 1 {
		second := q.organisations[1].normalised
		if len(q.organisations) > 2 {
			second = min(second, q.organisations[2].normalised)
		}
		q.grantedTasks = max(1, q.shares.tasksUntil(own.account, q.steps[next].Need, second+q.quantum, q.grantedTasks))
	}
	return q.granted, q.grantedTasks, true
}

func (q *Queue) grantsPerQuantum() int {
	return max(minGrants, grantsPerOrganisation*len(q.organisations))
}

func (q *Queue) grantPublic() (step, tasks int, ok bool) {
	q.granted, q.grantedFrom = q.public[0], nil
	q.grantedTasks = q.steps[q.granted].Tasks
	return q.granted, q.grantedTasks, true
}

// Placed reports how many tasks of the step that Next returned last were placed. A step of which fewer were placed than
// Next returned is not considered again.
func (q *Queue) Placed(tasks int) {
	step, own := &q.steps[q.granted], q.grantedFrom
	if own == nil {
		q.public = q.public[1:]
		return
	}
	step.Tasks -= tasks
	if tasks < q.grantedTasks || step.Tasks <= 0 {
		own.lanes[q.grantedLane] = own.lanes[q.grantedLane][1:]
	}
	if tasks > 0 {
		if q.grantsLeft--; q.grantsLeft == 0 {
			q.grantsLeft = q.grantsPerQuantum()
			q.quantum *= 2
		}
		q.shares.Use(own.account.Name, step.Need, tasks)
		own.normalised = q.shares.Normalised(own.account.Name)
		q.history.add(own.account.Name, q.grantedLane, q.shares.dominant(step.Need.Times(int64(tasks))),
			q.shares.dominant(own.account.Used))
	}
	if len(own.lanes[narrowLane])+len(own.lanes[wideLane]) == 0 {
		heap.Remove(q, 0)
		return
	}
	heap.Fix(q, 0)
}

// precedes reports whether step a comes before step b in the order of a plan without organisations.
func (q *Queue) precedes(a, b int) bool {
	return cmp.Or(cmp.Compare(q.steps[a].Urgency, q.steps[b].Urgency), cmp.Compare(q.steps[a].Due, q.steps[b].Due),
		cmp.Compare(a, b)) < 0
}

// nextLane returns the lane that was granted too little, or else the one with the earlier step.
func (q *Queue) nextLane(own *organisationQueue) lane {
	narrow, wide := own.lanes[narrowLane], own.lanes[wideLane]
	switch {
	case len(wide) == 0:
		return narrowLane
	case len(narrow) == 0:
		return wideLane
	}
	if granted := q.history.granted[own.account.Name]; granted != nil {
		sum := granted[narrowLane] + granted[wideLane]
		for _, candidate := range []lane{wideLane, narrowLane} {
			if granted[candidate] < minLaneShare*sum {
				return candidate
			}
		}
	}
	if q.precedes(narrow[0], wide[0]) {
		return narrowLane
	}
	return wideLane
}

// add records a grant. The history is halved once it holds more than the organisation uses at a time, so that it covers
// about as many tasks as run at once.
func (h *History) add(organisation string, granted lane, share, used float64) {
	lanes := h.granted[organisation]
	if lanes == nil {
		if len(h.granted) >= maxHistories {
			clear(h.granted)
		}
		lanes = new([laneCount]float64)
		h.granted[organisation] = lanes
	}
	lanes[granted] += share
	if lanes[narrowLane]+lanes[wideLane] > used {
		lanes[narrowLane] /= 2
		lanes[wideLane] /= 2
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *Queue) Len() int { return len(q.organisations) }

// Less puts the lower normalised share first, and orders equal shares by name.
func (q *Queue) Less(i, j int) bool {
	a, b := q.organisations[i], q.organisations[j]
	if a.normalised != b.normalised {
		return a.normalised < b.normalised
	}
	return a.account.Name < b.account.Name
}

// Swap exchanges two organisations.
func (q *Queue) Swap(i, j int) {
	q.organisations[i], q.organisations[j] = q.organisations[j], q.organisations[i]
}

// Push appends an organisation.
func (q *Queue) Push(entry any) {
	q.organisations = append(q.organisations, entry.(*organisationQueue))
}

// Pop removes the last organisation.
func (q *Queue) Pop() any {
	last := q.organisations[len(q.organisations)-1]
	q.organisations = q.organisations[:len(q.organisations)-1]
	return last
}
