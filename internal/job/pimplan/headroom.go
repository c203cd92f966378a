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
	// throttleState holds what is known about the serving and best-effort tasks of a host, and when
	// they were last throttled.
	throttleState struct {
		// reportedAt is the time of the last report on the worker's clock. The other times are on
		// the daemon's clock.
		reportedAt   time.Duration
		throttledAt  time.Duration
		servingTasks map[pimjob.TaskKey]*servingTask
		// imageCores are the cores that each best-effort image used at the last report, by image
		// index.
		imageCores []float64
		// pendingServing are the serving tasks placed on the host that no report lists yet.
		pendingServing map[pimjob.TaskKey]*pimjob.Step
		// pendingCores are the cores requested by best-effort tasks that no report lists yet, by
		// image.
		pendingCores map[string]float64
		// requestedCores are the cores requested by the best-effort tasks in the last report, by
		// image.
		requestedCores map[string]float64
		// headrooms caches the results of headroomFor until something changes.
		headrooms map[string]imageHeadroom
	}

	// imageHeadroom is what the serving tasks of a host can spare for a best-effort image: the least
	// headroom of those that it interferes with, its highest interference per core with one of
	// these, and its highest with any.
	imageHeadroom struct {
		headroom, interference, maxInterference float64
	}

	// servingTask is a serving task in the report of a worker.
	servingTask struct {
		image  string
		target time.Duration
		// withinTargetAt is when the task was last within its target, on the worker's clock.
		withinTargetAt time.Duration
		// headroom is the target latency divided by the tail latency, soloHeadroom what it would be
		// without the best-effort tasks on the host, and trend the change of soloHeadroom per
		// second.
		headroom     float64
		soloHeadroom float64
		trend        float64
		// throttleForecast and placementForecast are the least soloHeadroom expected within
		// throttleHorizon and placementHorizon.
		throttleForecast  float64
		placementForecast float64
		cycle             *loadCycle
	}
)

const (
	// minPlacementHeadroom is the headroom that must remain beside a new best-effort task.
	minPlacementHeadroom = 1.05
	// throttleHorizon is how far ahead headroom is forecast for throttling: the time between two
	// reports and that until a speed change shows. placementHorizon, for placement, is about the
	// duration of a best-effort run.
	throttleHorizon  = time.Second
	placementHorizon = 4 * time.Second
	forecastStep     = 500 * time.Millisecond
	// trendSmoothing is the weight of the newest value in the trend.
	trendSmoothing = 0.5
	// Without a known load cycle, placementForecast follows the lowest headroom reported. It starts
	// initialDip below the first value and rises by forecastRecovery per second.
	forecastRecovery = 0.03
	initialDip       = 0.5
	// minReportGap and maxReportGap are the limits of the time between two reports that are
	// compared. A metric covers half a second.
	minReportGap = 400 * time.Millisecond
	maxReportGap = 1600 * time.Millisecond
	// minCoreChange is the least change in the cores of a best-effort image from which interference
	// is learned.
	minCoreChange = 0.3
	// negligibleInterference is the interference per core below which a best-effort image is neither
	// kept away from a serving task nor throttled: ten cores take a quarter of the headroom that a
	// task at its target has.
	negligibleInterference = 0.025
)

// adjustPendingCores records that a best-effort task was placed on the host, or with sign -1 that it
// has left.
func (s *throttleState) adjustPendingCores(step *pimjob.Step, sign int) {
	if s.pendingCores == nil {
		s.pendingCores = map[string]float64{}
	}
	s.headrooms = map[string]imageHeadroom{}
	s.pendingCores[step.Image] = max(0,
		s.pendingCores[step.Image]+float64(sign)*float64(step.Need.Millicores)/millicoresPerCore)
}

// adjustPendingServing records that a serving task was placed on the host, or with sign -1 that it
// has left.
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

// headroomTaken returns the headroom that a serving image loses to the best-effort tasks of the host
// if these use all the cores that they request.
func (s *throttleState) headroomTaken(model *interferenceModel, serving string) float64 {
	sum := 0.0
	for image, cores := range s.requestedCores {
		sum += model.perCore(serving, image) * cores
	}
	for image, cores := range s.pendingCores {
		sum += model.perCore(serving, image) * cores
	}
	return sum
}

// forecast returns the least headroom expected beside the present best-effort tasks, until a speed
// change in response to the next report takes effect.
func (s *servingTask) forecast() float64 {
	return s.headroom - s.soloHeadroom + s.throttleForecast
}

// tightest returns the serving task with the least forecast headroom, or nil.
func (s *throttleState) tightest() *servingTask {
	var tightest *servingTask
	for _, key := range slices.SortedFunc(maps.Keys(s.servingTasks), pimjob.CompareKeys) {
		if task := s.servingTasks[key]; tightest == nil || task.forecast() < tightest.forecast() {
			tightest = task
		}
	}
	return tightest
}

// longestOverTarget returns the longest time that a serving task has been over its target at the last report.
func (s *throttleState) longestOverTarget() time.Duration {
	longest := time.Duration(0)
	for _, task := range s.servingTasks {
		longest = max(longest, s.reportedAt-task.withinTargetAt)
	}
	return longest
}

// headroomWith returns the least headroom that a serving task of the host is expected to have once a
// task of the step runs beside it, and the most headroom that this takes from any serving task.
func (s *throttleState) headroomWith(model *interferenceModel, step *pimjob.Step) (least, taken float64) {
	cores := float64(step.Need.Millicores) / millicoresPerCore
	cached, ok := s.headrooms[step.Image]
	if !ok {
		if s.headrooms == nil {
			s.headrooms = map[string]imageHeadroom{}
		}
		cached = s.headroomFor(model, step.Image)
		s.headrooms[step.Image] = cached
	}
	return cached.headroom - cached.interference*cores, cached.maxInterference * cores
}

// headroomFor returns what the serving tasks of the host can spare for a best-effort image. The
// headroom is infinite if it interferes with none of them.
func (s *throttleState) headroomFor(model *interferenceModel, image string) imageHeadroom {
	found := imageHeadroom{headroom: math.Inf(1)}
	include := func(serving string, forecast float64) {
		interference := model.perCore(serving, image)
		found.maxInterference = max(found.maxInterference, interference)
		if interference >= negligibleInterference {
			found.headroom = min(found.headroom, forecast-s.headroomTaken(model, serving))
			found.interference = max(found.interference, interference)
		}
	}
	for _, task := range s.servingTasks {
		include(task.image, min(task.placementForecast, task.soloHeadroom))
	}
	for _, step := range s.pendingServing {
		include(step.Image, model.cycles.typicalLow())
	}
	return found
}

// observe records a worker's report, learns from its differences from the previous one, and returns
// the worker's best-effort runs.
func (s *throttleState) observe(
	state *pimjob.State, model *interferenceModel, reported []pimfleet.ObservedRun, now time.Duration,
) []bestEffortRun {
	var bestEffort []bestEffortRun
	cores := make([]float64, maxBestEffortImages)
	serving := map[pimjob.TaskKey]*servingTask{}
	s.requestedCores = map[string]float64{}
	s.headrooms = map[string]imageHeadroom{}
	for _, observed := range reported {
		_, step, _ := state.Task(observed.Status.Key)
		switch {
		case step == nil:
		case step.BestEffort:
			if index, ok := model.indexOf(step.Image); ok {
				cores[index] += observed.Status.Metric / millicoresPerCore
			}
			run := bestEffortRun{
				key: observed.Status.Key, number: observed.Status.Number, image: step.Image,
				cores: float64(step.Need.Millicores) / millicoresPerCore, speedPercent: observed.SpeedPercent,
				speedUnknown: observed.SpeedUnknown,
			}
			bestEffort = append(bestEffort, run)
			s.requestedCores[run.image] += run.cores
		case step.TargetLatency > 0 && observed.Status.Metric > 0:
			serving[observed.Status.Key] = &servingTask{
				image: step.Image, target: step.TargetLatency,
				headroom: float64(step.TargetLatency.Milliseconds()) / observed.Status.Metric,
			}
		}
	}
	reportedAt := now
	for _, observed := range reported {
		reportedAt = observed.ListedAt
	}
	gap := reportedAt - s.reportedAt
	if gap < minReportGap && len(s.servingTasks) > 0 {
		// The metrics cover the same time as the previous ones; keep the lower headroom.
		for key, current := range serving {
			if previous := s.servingTasks[key]; previous != nil {
				previous.headroom = min(previous.headroom, current.headroom)
			}
		}
		return bestEffort
	}
	s.learn(model, serving, cores, reportedAt, gap)
	s.reportedAt, s.servingTasks, s.imageCores = reportedAt, serving, cores
	clear(s.pendingCores)
	return bestEffort
}

// learn updates the models of interference and load cycles from two consecutive reports, and
// forecasts the headroom of the serving tasks.
func (s *throttleState) learn(
	model *interferenceModel, serving map[pimjob.TaskKey]*servingTask, cores []float64, at, gap time.Duration,
) {
	changes := make([]float64, maxBestEffortImages)
	changed := false
	for i := range cores {
		if len(s.imageCores) > 0 {
			changes[i] = cores[i] - s.imageCores[i]
			changed = changed || max(changes[i], -changes[i]) >= minCoreChange
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(serving), pimjob.CompareKeys) {
		delete(s.pendingServing, key)
		current, previous := serving[key], s.servingTasks[key]
		current.withinTargetAt = at
		if previous != nil && current.headroom <= 1 {
			current.withinTargetAt = previous.withinTargetAt
		}
		noise := roundingStdDev(current.headroom, current.target)
		if previous != nil && changed && gap <= maxReportGap {
			loss := previous.headroom - current.headroom
			if expected, ok := model.cycles.headroomAt(previous.cycle, at); ok {
				before, _ := model.cycles.headroomAt(previous.cycle, at-gap)
				loss += expected - before
			}
			model.observe(current.image, changes, loss,
				math.Hypot(noise, roundingStdDev(previous.headroom, previous.target)))
		}
		taken := model.headroomTaken(current.image, cores)
		current.soloHeadroom = current.headroom + taken
		if previous != nil {
			current.cycle = previous.cycle
		}
		current.cycle = model.cycles.observe(current.cycle, at, current.soloHeadroom, taken, noise)
		if current.forecastFromCycle(&model.cycles, at) {
			continue
		}
		current.placementForecast = current.soloHeadroom - initialDip
		if previous != nil {
			current.placementForecast = min(current.soloHeadroom,
				previous.placementForecast+forecastRecovery*gap.Seconds())
		}
		if previous != nil && gap <= maxReportGap {
			current.trend = (1-trendSmoothing)*previous.trend +
				trendSmoothing*(current.soloHeadroom-previous.soloHeadroom)/gap.Seconds()
		}
		current.throttleForecast = current.soloHeadroom + min(0, current.trend)*throttleHorizon.Seconds()
	}
}

// forecastFromCycle forecasts headroom from the task's load cycle, and returns false if none is
// known. The present difference from the cycle is assumed not to last.
func (s *servingTask) forecastFromCycle(model *cycleModel, at time.Duration) bool {
	throttleForecast, placementForecast := s.soloHeadroom, s.soloHeadroom
	for ahead := forecastStep; ahead <= placementHorizon; ahead += forecastStep {
		headroom, ok := model.headroomAt(s.cycle, at+ahead)
		if !ok {
			return false
		}
		if ahead <= throttleHorizon {
			throttleForecast = min(throttleForecast, headroom)
		}
		placementForecast = min(placementForecast, headroom)
	}
	s.throttleForecast, s.placementForecast = throttleForecast, placementForecast
	return true
}
