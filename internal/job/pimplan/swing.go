package pimplan

import (
	"math"
	"time"
)

type (
	// swingModel tells how the rooms of serving tasks come and go with their own load. The load
	// of many users rises and falls; a task's room without what fills beside it is fitted as
	//
	//	room(t) = mean + a sin(2 pi t / period) + b cos(2 pi t / period)
	//
	// Some tasks, the scouts, are fitted once for each of swingPeriods; together they tell which
	// period predicts best. All others are fitted for that one. Mean, a and b are a task's own.
	swingModel struct {
		// errors are the squared errors of the predictions by period, in variances of the
		// figures, the newest counting most; still is that of "as it was on the last list".
		errors  [len(swingPeriods)]float64
		still   float64
		samples int
		tasks   int
		// period is the number of the period that predicts best.
		period int
		// mean is that of all rooms, height that of their waves by the period that predicts best.
		mean, height float64
	}

	// swing is what is known of one serving task: its fit for the period with that number
	// (-1 while there is none), and a scout's fits for all.
	swing struct {
		fit    swingFit
		period int
		scout  *[len(swingPeriods)]swingFit
		last   float64
	}

	// swingFit is a recursive least-squares fit: the figures and their covariance.
	swingFit struct {
		figures    [3]float64
		covariance [3][3]float64
	}
)

// swingPeriods are the periods that are told apart, in seconds. Neighbours differ by a
// sixteenth, so that a fit is at most a tenth of a period out of phase over what it remembers.
var swingPeriods = [...]float64{
	4, 4.25, 4.5, 4.8, 5.1, 5.4, 5.75, 6.1, 6.5, 6.9, 7.35, 7.8, 8.3, 8.8, 9.35, 9.9, 10.55, 11.2, 11.9, 12.6, 13.4, 14.25, 15.1, 16.1, 17.1, 18.1, 19.3, 20.5, 21.8, 23.1, 24.6, 26.1,
}

const (
	// swingMemory is the weight that a fit's samples keep with each later one.
	swingMemory = 0.95
	// errorMemory is that of the errors by period, over all tasks.
	errorMemory = 0.9995
	// meanMemory is that of the mean of all rooms.
	meanMemory = 0.998
	// meanSpread and waveSpread are how far a task's mean is expected from that of all, and
	// how large a and b are, before anything is known of it.
	meanSpread = 0.4
	waveSpread = 0.7
	// periodGain keeps neighbours from taking turns: each change makes most fits begin anew.
	periodGain = 0.95
	// firstScouts tasks are scouts, and of later ones one in scoutShare.
	firstScouts = 256
	scoutShare  = 16
	// leastSamples is how many predictions must be known before one is trusted, swingGain what
	// share of the error of "as it was" it may have at most.
	leastSamples = 200
	swingGain    = 0.8
	// unknownLow is what the room of a serving task falls to while none was seen.
	unknownLow = 1.5
	// leastNoise is the spread of a room's figure beside its rounding, harmDoubt the share of
	// the room taken by what fills beside it that is not known.
	leastNoise = 0.05
	harmDoubt  = 0.3
	// roundingShare is the spread of a figure that is rounded to one: 1 / sqrt(12).
	roundingShare = 0.29
)

// rounding returns the spread of a room that comes from a tail in whole milliseconds.
func rounding(room float64, target time.Duration) float64 {
	return roundingShare * room * room / max(1, float64(target.Milliseconds()))
}

// unknownFit is the fit of a task of which nothing is known but the mean of all tasks.
func unknownFit(mean float64) swingFit {
	return swingFit{
		figures:    [3]float64{mean},
		covariance: [3][3]float64{{meanSpread * meanSpread}, {0, waveSpread * waveSpread}, {0, 0, waveSpread * waveSpread}},
	}
}

func waveAt(period float64, at time.Duration) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * at.Seconds() / period)
	return [3]float64{1, sin, cos}
}

func (f *swingFit) at(wave [3]float64) float64 {
	return f.figures[0]*wave[0] + f.figures[1]*wave[1] + f.figures[2]*wave[2]
}

// add takes in a room with the variance of its noise.
func (f *swingFit) add(wave [3]float64, room, noise float64) {
	var toward [3]float64
	spread := swingMemory * noise
	for i := range toward {
		for j := range wave {
			toward[i] += f.covariance[i][j] * wave[j]
		}
		spread += wave[i] * toward[i]
	}
	miss := room - f.at(wave)
	for i := range toward {
		f.figures[i] += toward[i] / spread * miss
		for j := range toward {
			f.covariance[i][j] -= toward[i] * toward[j] / spread
		}
	}
	// Memory is lost as a whole, but never below what was known at first.
	for i := range toward {
		most := waveSpread * waveSpread
		if i == 0 {
			most = meanSpread * meanSpread
		}
		if f.covariance[i][i]/swingMemory > most {
			return
		}
	}
	for i := range toward {
		for j := range toward {
			f.covariance[i][j] /= swingMemory
		}
	}
}

// observe takes in the room of a task without what fills beside it, the room that this
// takes, and the spread of the figure's rounding. It returns what is known of the task now;
// known is nil for a task that is seen for the first time.
func (m *swingModel) observe(known *swing, at time.Duration, room, taken, noise float64) *swing {
	if m.samples == 0 {
		m.mean = room
	}
	m.samples++
	m.mean = meanMemory*m.mean + (1-meanMemory)*room
	variance := leastNoise*leastNoise + noise*noise + harmDoubt*harmDoubt*taken*taken
	if known == nil {
		known = &swing{last: room, period: -1}
		if m.tasks++; m.tasks <= firstScouts || m.tasks%scoutShare == 0 {
			known.scout = &[len(swingPeriods)]swingFit{}
			for i := range known.scout {
				known.scout[i] = unknownFit(m.mean)
			}
		}
	}
	if known.scout != nil {
		m.compare(known, at, room, variance)
	}
	if best, ok := m.best(); ok {
		if known.period != best {
			known.period, known.fit = best, unknownFit(m.mean)
		}
		if known.scout != nil {
			known.fit = known.scout[best]
		} else {
			known.fit.add(waveAt(swingPeriods[best], at), room, variance)
		}
		m.height = meanMemory*m.height + (1-meanMemory)*math.Hypot(known.fit.figures[1], known.fit.figures[2])
	}
	known.last = room
	return known
}

// compare takes in how well each period predicted a room. Errors count by how well the figure is known.
func (m *swingModel) compare(scout *swing, at time.Duration, room, variance float64) {
	m.still = errorMemory*m.still + (room-scout.last)*(room-scout.last)/variance
	for i, period := range swingPeriods {
		wave := waveAt(period, at)
		miss := room - scout.scout[i].at(wave)
		m.errors[i] = errorMemory*m.errors[i] + miss*miss/variance
		scout.scout[i].add(wave, room, variance)
	}
	for i := range m.errors {
		if m.errors[i] < periodGain*m.errors[m.period] {
			m.period = i
		}
	}
}

// best returns the number of the period that predicts best, and false while it is not much
// better than "as it was".
func (m *swingModel) best() (int, bool) {
	return m.period, m.samples >= leastSamples && m.errors[m.period] < swingGain*m.still
}

// roomAt returns the room that is expected at a time, and false while the task's load is
// not known to swing.
func (m *swingModel) roomAt(known *swing, at time.Duration) (float64, bool) {
	if known == nil || known.period < 0 {
		return 0, false
	}
	if best, ok := m.best(); !ok || best != known.period {
		return 0, false
	}
	return known.fit.at(waveAt(swingPeriods[known.period], at)), true
}

// usualLow returns how low the room of a serving task falls by itself.
func (m *swingModel) usualLow() float64 {
	if m.samples == 0 {
		return unknownLow
	}
	return m.mean - max(firstSwing, m.height)
}
