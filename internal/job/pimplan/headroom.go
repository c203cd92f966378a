package pimplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// throttleState is what is known of the serving and filling tasks of a host, and what was
	// last done about them.
	throttleState struct {
		// reportedAt is on the worker's clock, the others on the daemon's.
		reportedAt  time.Duration
		throttledAt time.Duration
		// withinTargetAt is when all serving tasks were last below their targets.
		withinTargetAt time.Duration
		servingTasks   map[pimjob.TaskKey]*servingTask
		// imageCores are those that each filling image used when the servers were seen.
		imageCores []float64
		// pendingServing are the serving tasks that no list shows yet.
		pendingServing map[pimjob.TaskKey]*pimjob.Step
		// pendingCores are the cores by image of filling tasks that no list shows yet.
		pendingCores map[string]float64
		// requestedCores are the cores by image that the filling tasks on the last list ask for.
		requestedCores map[string]float64
		// headrooms keeps what roomFor found until something changes.
		headrooms map[string]imageHeadroom
	}

	// imageHeadroom is what a host's serving tasks have for a filling image.
	imageHeadroom struct {
		headroom, interference, maxInterference float64
	}

	// servingTask is a serving task: its image and target, its room (target divided by tail),
	// its room without what fills beside it, and the least that this is expected to be in a
	// moment and in the time that a filling run takes.
	servingTask struct {
		image             string
		target            time.Duration
		headroom          float64
		soloHeadroom      float64
		trend             float64
		throttleForecast  float64
		placementForecast float64
		cycle             *loadCycle
	}
)

const (
	// minPlacementHeadroom is the room that a new filling task must leave.
	minPlacementHeadroom = 1.05
	// throttleHorizon is how far ahead the room of a serving task is looked at when filling tasks
	// are paced: the time between two lists and that of a change of pace. Placement looks
	// as far as foresightMost, which is about what filling runs take.
	throttleHorizon  = time.Second
	placementHorizon = 4 * time.Second
	forecastStep     = 500 * time.Millisecond
	// trendSmoothing is that of the newest figure in the trend.
	trendSmoothing = 0.5
	// forecastRecovery is how fast the low of a room is forgotten in a second, firstSwing how far
	// below the first figure it is taken to be.
	forecastRecovery = 0.03
	initialDip       = 0.5
	// minReportGap and maxGap bound the time between two lists that are compared. A figure covers
	// half a second.
	minReportGap = 400 * time.Millisecond
	maxReportGap = 1600 * time.Millisecond
	// minCoreChange is the change in cores of a filling image from which lists are compared.
	minCoreChange = 0.3
	// negligibleInterference is the harm below which a filling image is neither kept away nor slowed: ten
	// cores of it take a quarter of what a serving task needs.
	negligibleInterference = 0.025
)

// adjustPendingCores notes a filling task that comes to the host, or leaves it with sign -1.
func (s *throttleState) adjustPendingCores(step *pimjob.Step, sign int) {
	if s.pendingCores == nil {
		s.pendingCores = map[string]float64{}
	}
	s.headrooms = map[string]imageHeadroom{}
	s.pendingCores[step.Image] = max(0, s.pendingCores[step.Image]+float64(sign)*float64(step.Need.Millicores)/millicoresPerCore)
}

// adjustPendingServing notes a serving task that comes to the host, or leaves it with sign -1.
func (s *throttleState) adjustPendingServing(key pimjob.TaskKey, step *pimjob.Step, sign int) {
	s.headrooms = map[string]imageHeadroom{}
	if sign < 0 {
		delete(s.pendingServing, key)
		return
	}
	if s.pendingServing == nil {
		s.pendingServing = map[pimjob.TaskKey]*pimjob.Step{}
	}
	s.pendingServing[key] = step
}

// headroomTaken returns the room that the filling tasks of the host take from a serving image.
func (s *throttleState) headroomTaken(harms *interferenceModel, serving string) float64 {
	sum := 0.0
	for image, cores := range s.requestedCores {
		sum += harms.perCore(serving, image) * cores
	}
	for image, cores := range s.pendingCores {
		sum += harms.perCore(serving, image) * cores
	}
	return sum
}

// forecast returns the least room that a serving task will have until a change of pace
// that follows the next list shows.
func (s *servingTask) forecast() float64 {
	return s.headroom - s.soloHeadroom + s.throttleForecast
}

// tightest returns the serving task that is expected to have the least room, or nil.
func (s *throttleState) tightest() *servingTask {
	var tightest *servingTask
	for _, key := range slices.SortedFunc(maps.Keys(s.servingTasks), pimjob.CompareKeys) {
		if server := s.servingTasks[key]; tightest == nil || server.forecast() < tightest.forecast() {
			tightest = server
		}
	}
	return tightest
}

// headroomWith returns the least room that a serving task of the host will have at its next
// low once a filling task works beside it, and the most that this one takes of any.
func (s *throttleState) headroomWith(harms *interferenceModel, step *pimjob.Step) (least, takes float64) {
	cores := float64(step.Need.Millicores) / millicoresPerCore
	known, ok := s.headrooms[step.Image]
	if !ok {
		if s.headrooms == nil {
			s.headrooms = map[string]imageHeadroom{}
		}
		known = s.headroomFor(harms, step.Image)
		s.headrooms[step.Image] = known
	}
	return known.headroom - known.interference*cores, known.maxInterference * cores
}

// headroomFor returns the least room of the serving tasks that an image disturbs, and the
// greatest harm of a core of it to one of them and to any.
func (s *throttleState) headroomFor(harms *interferenceModel, image string) imageHeadroom {
	found := imageHeadroom{headroom: releaseAbove}
	consider := func(serving string, low float64) {
		harm := harms.perCore(serving, image)
		found.maxInterference = max(found.maxInterference, harm)
		if harm >= negligibleInterference {
			found.headroom = min(found.headroom, low-s.headroomTaken(harms, serving))
			found.interference = max(found.interference, harm)
		}
	}
	for _, server := range s.servingTasks {
		consider(server.image, min(server.placementForecast, server.soloHeadroom))
	}
	for _, step := range s.pendingServing {
		consider(step.Image, harms.cycles.typicalLow())
	}
	return found
}

// observe takes over what a worker listed, learns from how it differs from the list
// before, and returns the worker's filling runs.
func (s *throttleState) observe(state *pimjob.State, harms *interferenceModel, rows []pimfleet.ObservedRun, now time.Duration) []bestEffortRun {
	var fillers []bestEffortRun
	cores := make([]float64, maxBestEffortImages)
	rooms := map[pimjob.TaskKey]*servingTask{}
	s.requestedCores = map[string]float64{}
	s.headrooms = map[string]imageHeadroom{}
	for _, view := range rows {
		_, step, _ := state.Task(view.Status.Key)
		switch {
		case step == nil:
		case step.BestEffort:
			if index, ok := harms.indexOf(step.Image); ok {
				cores[index] += view.Status.Metric / millicoresPerCore
			}
			f := bestEffortRun{key: view.Status.Key, number: view.Status.Number, image: step.Image, cores: float64(step.Need.Millicores) / millicoresPerCore, speedPercent: view.SpeedPercent}
			fillers = append(fillers, f)
			s.requestedCores[f.image] += f.cores
		case step.TargetLatency > 0 && view.Status.Metric > 0:
			rooms[view.Status.Key] = &servingTask{image: step.Image, target: step.TargetLatency, headroom: float64(step.TargetLatency.Milliseconds()) / view.Status.Metric}
		}
	}
	listedAt := now
	for _, view := range rows {
		listedAt = view.ListedAt
	}
	gap := listedAt - s.reportedAt
	if gap < minReportGap && len(s.servingTasks) > 0 {
		// The figures cover the same time as the last ones; only rooms are taken over.
		for key, fresh := range rooms {
			if known := s.servingTasks[key]; known != nil {
				known.headroom = min(known.headroom, fresh.headroom)
			}
		}
		return fillers
	}
	s.learn(harms, rooms, cores, listedAt, gap)
	s.reportedAt, s.servingTasks, s.imageCores = listedAt, rooms, cores
	clear(s.pendingCores)
	return fillers
}

// learn learns from two lists and works out trends.
func (s *throttleState) learn(harms *interferenceModel, rooms map[pimjob.TaskKey]*servingTask, cores []float64, at, gap time.Duration) {
	changes := make([]float64, maxBestEffortImages)
	changed := false
	for i := range cores {
		if len(s.imageCores) > 0 {
			changes[i] = cores[i] - s.imageCores[i]
			changed = changed || max(changes[i], -changes[i]) >= minCoreChange
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(rooms), pimjob.CompareKeys) {
		delete(s.pendingServing, key)
		fresh, known := rooms[key], s.servingTasks[key]
		noise := roundingStdDev(fresh.headroom, fresh.target)
		if known != nil && changed && gap <= maxReportGap {
			loss := known.headroom - fresh.headroom
			if expected, ok := harms.cycles.headroomAt(known.cycle, at); ok {
				before, _ := harms.cycles.headroomAt(known.cycle, at-gap)
				loss += expected - before
			}
			harms.observe(fresh.image, changes, loss, math.Hypot(noise, roundingStdDev(known.headroom, known.target)))
		}
		taken := harms.headroomTaken(fresh.image, cores)
		fresh.soloHeadroom = fresh.headroom + taken
		if known != nil {
			fresh.cycle = known.cycle
		}
		fresh.cycle = harms.cycles.observe(fresh.cycle, at, fresh.soloHeadroom, taken, noise)
		if fresh.forecastFromCycle(&harms.cycles, at) {
			continue
		}
		fresh.placementForecast = fresh.soloHeadroom - initialDip
		if known != nil {
			fresh.placementForecast = min(fresh.soloHeadroom, known.placementForecast+forecastRecovery*gap.Seconds())
		}
		if known != nil && gap <= maxReportGap {
			fresh.trend = (1-trendSmoothing)*known.trend + trendSmoothing*(fresh.soloHeadroom-known.soloHeadroom)/gap.Seconds()
		}
		fresh.throttleForecast = fresh.soloHeadroom + min(0, fresh.trend)*throttleHorizon.Seconds()
	}
}

// forecastFromCycle works out the least rooms to come, if the load is known to swing. What is
// not as expected now is taken to pass within a moment.
func (s *servingTask) forecastFromCycle(swings *cycleModel, at time.Duration) bool {
	soon, low := s.soloHeadroom, s.soloHeadroom
	for ahead := forecastStep; ahead <= placementHorizon; ahead += forecastStep {
		room, ok := swings.headroomAt(s.cycle, at+ahead)
		if !ok {
			return false
		}
		if ahead <= throttleHorizon {
			soon = min(soon, room)
		}
		low = min(low, room)
	}
	s.throttleForecast, s.placementForecast = soon, low
	return true
}
