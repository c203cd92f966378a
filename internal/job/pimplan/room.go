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
	// paceState is what is known of the serving and filling tasks of a host, and what was
	// last done about them.
	paceState struct {
		// seenAt is on the worker's clock, the others on the daemon's.
		seenAt  time.Duration
		actedAt time.Duration
		// calmAt is when all serving tasks were last below their targets.
		calmAt  time.Duration
		servers map[pimjob.TaskKey]*server
		// cores are those that each filling image used when the servers were seen.
		cores []float64
		// arriving are the serving tasks that no list shows yet.
		arriving map[pimjob.TaskKey]*pimjob.Step
		// coming are the cores by image of filling tasks that no list shows yet.
		coming map[string]float64
		// listed are the cores by image that the filling tasks on the last list ask for.
		listed map[string]float64
		// rooms keeps what roomFor found until something changes.
		rooms map[string]imageRoom
	}

	// imageRoom is what a host's serving tasks have for a filling image.
	imageRoom struct {
		room, harm, worst float64
	}

	// server is a serving task: its image and target, its room (target divided by tail),
	// its room without what fills beside it, and the least that this is expected to be in a
	// moment and in the time that a filling run takes.
	server struct {
		image  string
		target time.Duration
		room   float64
		alone  float64
		trend  float64
		soon   float64
		low    float64
		swing  *swing
	}
)

const (
	// fillRoom is the room that a new filling task must leave.
	fillRoom = 1.05
	// foresight is how far ahead the room of a serving task is looked at when filling tasks
	// are paced: the time between two lists and that of a change of pace. Placement looks
	// as far as foresightMost, which is about what filling runs take.
	foresight     = time.Second
	foresightMost = 4 * time.Second
	foresightStep = 500 * time.Millisecond
	// trendWeight is that of the newest figure in the trend.
	trendWeight = 0.5
	// lowRise is how fast the low of a room is forgotten in a second, firstSwing how far
	// below the first figure it is taken to be.
	lowRise    = 0.03
	firstSwing = 0.5
	// minGap and maxGap bound the time between two lists that are compared. A figure covers
	// half a second.
	minGap = 400 * time.Millisecond
	maxGap = 1600 * time.Millisecond
	// minChange is the change in cores of a filling image from which lists are compared.
	minChange = 0.3
	// harmless is the harm below which a filling image is neither kept away nor slowed: ten
	// cores of it take a quarter of what a serving task needs.
	harmless = 0.025
)

// plan notes a filling task that comes to the host, or leaves it with sign -1.
func (s *paceState) plan(step *pimjob.Step, sign int) {
	if s.coming == nil {
		s.coming = map[string]float64{}
	}
	s.rooms = map[string]imageRoom{}
	s.coming[step.Image] = max(0, s.coming[step.Image]+float64(sign)*float64(step.Need.Millicores)/millisPerCore)
}

// expect notes a serving task that comes to the host, or leaves it with sign -1.
func (s *paceState) expect(key pimjob.TaskKey, step *pimjob.Step, sign int) {
	s.rooms = map[string]imageRoom{}
	if sign < 0 {
		delete(s.arriving, key)
		return
	}
	if s.arriving == nil {
		s.arriving = map[pimjob.TaskKey]*pimjob.Step{}
	}
	s.arriving[key] = step
}

// fillerTakes returns the room that the filling tasks of the host take from a serving image.
func (s *paceState) fillerTakes(harms *harmModel, serving string) float64 {
	sum := 0.0
	for image, cores := range s.listed {
		sum += harms.harm(serving, image) * cores
	}
	for image, cores := range s.coming {
		sum += harms.harm(serving, image) * cores
	}
	return sum
}

// expected returns the least room that a serving task will have until a change of pace
// that follows the next list shows.
func (s *server) expected() float64 {
	return s.room - s.alone + s.soon
}

// tightest returns the serving task that is expected to have the least room, or nil.
func (s *paceState) tightest() *server {
	var tightest *server
	for _, key := range slices.SortedFunc(maps.Keys(s.servers), pimjob.CompareKeys) {
		if server := s.servers[key]; tightest == nil || server.expected() < tightest.expected() {
			tightest = server
		}
	}
	return tightest
}

// roomWith returns the least room that a serving task of the host will have at its next
// low once a filling task works beside it, and the most that this one takes of any.
func (s *paceState) roomWith(harms *harmModel, step *pimjob.Step) (least, takes float64) {
	cores := float64(step.Need.Millicores) / millisPerCore
	known, ok := s.rooms[step.Image]
	if !ok {
		if s.rooms == nil {
			s.rooms = map[string]imageRoom{}
		}
		known = s.roomFor(harms, step.Image)
		s.rooms[step.Image] = known
	}
	return known.room - known.harm*cores, known.worst * cores
}

// roomFor returns the least room of the serving tasks that an image disturbs, and the
// greatest harm of a core of it to one of them and to any.
func (s *paceState) roomFor(harms *harmModel, image string) imageRoom {
	found := imageRoom{room: fastAbove}
	consider := func(serving string, low float64) {
		harm := harms.harm(serving, image)
		found.worst = max(found.worst, harm)
		if harm >= harmless {
			found.room = min(found.room, low-s.fillerTakes(harms, serving))
			found.harm = max(found.harm, harm)
		}
	}
	for _, server := range s.servers {
		consider(server.image, min(server.low, server.alone))
	}
	for _, step := range s.arriving {
		consider(step.Image, harms.swings.usualLow())
	}
	return found
}

// observe takes over what a worker listed, learns from how it differs from the list
// before, and returns the worker's filling runs.
func (s *paceState) observe(state *pimjob.State, harms *harmModel, rows []pimfleet.ObservedRun, now time.Duration) []filler {
	var fillers []filler
	cores := make([]float64, maxImages)
	rooms := map[pimjob.TaskKey]*server{}
	s.listed = map[string]float64{}
	s.rooms = map[string]imageRoom{}
	for _, view := range rows {
		_, step, _ := state.Task(view.Status.Key)
		switch {
		case step == nil:
		case step.BestEffort:
			if index, ok := harms.image(step.Image); ok {
				cores[index] += view.Status.Metric / millisPerCore
			}
			f := filler{key: view.Status.Key, number: view.Status.Number, image: step.Image, cores: float64(step.Need.Millicores) / millisPerCore, pace: view.SpeedPercent}
			fillers = append(fillers, f)
			s.listed[f.image] += f.cores
		case step.TargetLatency > 0 && view.Status.Metric > 0:
			rooms[view.Status.Key] = &server{image: step.Image, target: step.TargetLatency, room: float64(step.TargetLatency.Milliseconds()) / view.Status.Metric}
		}
	}
	listedAt := now
	for _, view := range rows {
		listedAt = view.ListedAt
	}
	gap := listedAt - s.seenAt
	if gap < minGap && len(s.servers) > 0 {
		// The figures cover the same time as the last ones; only rooms are taken over.
		for key, fresh := range rooms {
			if known := s.servers[key]; known != nil {
				known.room = min(known.room, fresh.room)
			}
		}
		return fillers
	}
	s.compare(harms, rooms, cores, listedAt, gap)
	s.seenAt, s.servers, s.cores = listedAt, rooms, cores
	clear(s.coming)
	return fillers
}

// compare learns from two lists and works out trends.
func (s *paceState) compare(harms *harmModel, rooms map[pimjob.TaskKey]*server, cores []float64, at, gap time.Duration) {
	changes := make([]float64, maxImages)
	changed := false
	for i := range cores {
		if len(s.cores) > 0 {
			changes[i] = cores[i] - s.cores[i]
			changed = changed || max(changes[i], -changes[i]) >= minChange
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(rooms), pimjob.CompareKeys) {
		delete(s.arriving, key)
		fresh, known := rooms[key], s.servers[key]
		noise := rounding(fresh.room, fresh.target)
		if known != nil && changed && gap <= maxGap {
			loss := known.room - fresh.room
			if expected, ok := harms.swings.roomAt(known.swing, at); ok {
				before, _ := harms.swings.roomAt(known.swing, at-gap)
				loss += expected - before
			}
			harms.observe(fresh.image, changes, loss, math.Hypot(noise, rounding(known.room, known.target)))
		}
		taken := harms.taken(fresh.image, cores)
		fresh.alone = fresh.room + taken
		if known != nil {
			fresh.swing = known.swing
		}
		fresh.swing = harms.swings.observe(fresh.swing, at, fresh.alone, taken, noise)
		if fresh.foresee(&harms.swings, at) {
			continue
		}
		fresh.low = fresh.alone - firstSwing
		if known != nil {
			fresh.low = min(fresh.alone, known.low+lowRise*gap.Seconds())
		}
		if known != nil && gap <= maxGap {
			fresh.trend = (1-trendWeight)*known.trend + trendWeight*(fresh.alone-known.alone)/gap.Seconds()
		}
		fresh.soon = fresh.alone + min(0, fresh.trend)*foresight.Seconds()
	}
}

// foresee works out the least rooms to come, if the load is known to swing. What is
// not as expected now is taken to pass within a moment.
func (s *server) foresee(swings *swingModel, at time.Duration) bool {
	soon, low := s.alone, s.alone
	for ahead := foresightStep; ahead <= foresightMost; ahead += foresightStep {
		room, ok := swings.roomAt(s.swing, at+ahead)
		if !ok {
			return false
		}
		if ahead <= foresight {
			soon = min(soon, room)
		}
		low = min(low, room)
	}
	s.soon, s.low = soon, low
	return true
}
