package pimplan

import (
	"math"
	"time"
)

type (
	// cycleModel tells how the rooms of serving tasks come and go with their own load. The load
	// of many users rises and falls; a task's room without what fills beside it is fitted as
	//
	//	room(t) = mean + a sin(2 pi t / period) + b cos(2 pi t / period)
	//
	// Some tasks, the scouts, are fitted once for each of swingPeriods; together they tell which
	// period predicts best. All others are fitted for that one. Mean, a and b are a task's own.
	cycleModel struct {
		// periodErrors are the squared periodErrors of the predictions by period, in variances of the
		// figures, the newest counting most; still is that of "as it was on the last list".
		periodErrors     [len(candidatePeriods)]float64
		persistenceError float64
		samples          int
		tasks            int
		// periodIndex is the number of the periodIndex that predicts best.
		periodIndex int
		// meanHeadroom is that of all rooms, meanAmplitude that of their waves by the period that predicts best.
		meanHeadroom, meanAmplitude float64
	}

	// loadCycle is what is known of one serving task: its fit for the period with that number
	// (-1 while there is none), and a scout's fits for all.
	loadCycle struct {
		fit           sinusoidFit
		periodIndex   int
		referenceFits *[len(candidatePeriods)]sinusoidFit
		lastHeadroom  float64
	}

	// sinusoidFit is a recursive least-squares fit: the figures and their covariance.
	sinusoidFit struct {
		coefficients [3]float64
		covariance   [3][3]float64
	}
)

// candidatePeriods are the periods that are told apart, in seconds. Neighbours differ by a
// sixteenth, so that a fit is at most a tenth of a period out of phase over what it remembers.
var candidatePeriods = [...]float64{
	4, 4.25, 4.5, 4.8, 5.1, 5.4, 5.75, 6.1, 6.5, 6.9, 7.35, 7.8, 8.3, 8.8, 9.35, 9.9, 10.55, 11.2, 11.9, 12.6, 13.4, 14.25, 15.1, 16.1, 17.1, 18.1, 19.3, 20.5, 21.8, 23.1, 24.6, 26.1,
}

const (
	// fitForgetting is the weight that a fit's samples keep with each later one.
	fitForgetting = 0.95
	// errorForgetting is that of the errors by period, over all tasks.
	errorForgetting = 0.9995
	// meanForgetting is that of the mean of all rooms.
	meanForgetting = 0.998
	// priorMeanStdDev and waveSpread are how far a task's mean is expected from that of all, and
	// how large a and b are, before anything is known of it.
	priorMeanStdDev      = 0.4
	priorAmplitudeStdDev = 0.7
	// periodHysteresis keeps neighbours from taking turns: each change makes most fits begin anew.
	periodHysteresis = 0.95
	// firstReferenceTasks tasks are scouts, and of later ones one in scoutShare.
	firstReferenceTasks   = 256
	referenceTaskInterval = 16
	// minCycleSamples is how many predictions must be known before one is trusted, swingGain what
	// share of the error of "as it was" it may have at most.
	minCycleSamples = 200
	maxErrorRatio   = 0.8
	// defaultLow is what the room of a serving task falls to while none was seen.
	defaultLow = 1.5
	// headroomStdDev is the spread of a room's figure beside its rounding, harmDoubt the share of
	// the room taken by what fills beside it that is not known.
	headroomStdDev          = 0.05
	interferenceUncertainty = 0.3
	// uniformStdDev is the spread of a figure that is rounded to one: 1 / sqrt(12).
	uniformStdDev = 0.29
)

// roundingStdDev returns the spread of a room that comes from a tail in whole milliseconds.
func roundingStdDev(room float64, target time.Duration) float64 {
	return uniformStdDev * room * room / max(1, float64(target.Milliseconds()))
}

// priorFit is the fit of a task of which nothing is known but the mean of all tasks.
func priorFit(mean float64) sinusoidFit {
	return sinusoidFit{
		coefficients: [3]float64{mean},
		covariance:   [3][3]float64{{priorMeanStdDev * priorMeanStdDev}, {0, priorAmplitudeStdDev * priorAmplitudeStdDev}, {0, 0, priorAmplitudeStdDev * priorAmplitudeStdDev}},
	}
}

func sinusoidBasis(period float64, at time.Duration) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * at.Seconds() / period)
	return [3]float64{1, sin, cos}
}

func (f *sinusoidFit) predict(wave [3]float64) float64 {
	return f.coefficients[0]*wave[0] + f.coefficients[1]*wave[1] + f.coefficients[2]*wave[2]
}

// update takes in a room with the variance of its noise.
func (f *sinusoidFit) update(wave [3]float64, room, noise float64) {
	var toward [3]float64
	spread := fitForgetting * noise
	for i := range toward {
		for j := range wave {
			toward[i] += f.covariance[i][j] * wave[j]
		}
		spread += wave[i] * toward[i]
	}
	miss := room - f.predict(wave)
	for i := range toward {
		f.coefficients[i] += toward[i] / spread * miss
		for j := range toward {
			f.covariance[i][j] -= toward[i] * toward[j] / spread
		}
	}
	// Memory is lost as a whole, but never below what was known at first.
	for i := range toward {
		most := priorAmplitudeStdDev * priorAmplitudeStdDev
		if i == 0 {
			most = priorMeanStdDev * priorMeanStdDev
		}
		if f.covariance[i][i]/fitForgetting > most {
			return
		}
	}
	for i := range toward {
		for j := range toward {
			f.covariance[i][j] /= fitForgetting
		}
	}
}

// observe takes in the room of a task without what fills beside it, the room that this
// takes, and the spread of the figure's rounding. It returns what is known of the task now;
// known is nil for a task that is seen for the first time.
func (m *cycleModel) observe(known *loadCycle, at time.Duration, room, taken, noise float64) *loadCycle {
	if m.samples == 0 {
		m.meanHeadroom = room
	}
	m.samples++
	m.meanHeadroom = meanForgetting*m.meanHeadroom + (1-meanForgetting)*room
	variance := headroomStdDev*headroomStdDev + noise*noise + interferenceUncertainty*interferenceUncertainty*taken*taken
	if known == nil {
		known = &loadCycle{lastHeadroom: room, periodIndex: -1}
		if m.tasks++; m.tasks <= firstReferenceTasks || m.tasks%referenceTaskInterval == 0 {
			known.referenceFits = &[len(candidatePeriods)]sinusoidFit{}
			for i := range known.referenceFits {
				known.referenceFits[i] = priorFit(m.meanHeadroom)
			}
		}
	}
	if known.referenceFits != nil {
		m.scorePeriods(known, at, room, variance)
	}
	if best, ok := m.bestPeriod(); ok {
		if known.periodIndex != best {
			known.periodIndex, known.fit = best, priorFit(m.meanHeadroom)
		}
		if known.referenceFits != nil {
			known.fit = known.referenceFits[best]
		} else {
			known.fit.update(sinusoidBasis(candidatePeriods[best], at), room, variance)
		}
		m.meanAmplitude = meanForgetting*m.meanAmplitude + (1-meanForgetting)*math.Hypot(known.fit.coefficients[1], known.fit.coefficients[2])
	}
	known.lastHeadroom = room
	return known
}

// scorePeriods takes in how well each period predicted a room. Errors count by how well the figure is known.
func (m *cycleModel) scorePeriods(scout *loadCycle, at time.Duration, room, variance float64) {
	m.persistenceError = errorForgetting*m.persistenceError + (room-scout.lastHeadroom)*(room-scout.lastHeadroom)/variance
	for i, period := range candidatePeriods {
		wave := sinusoidBasis(period, at)
		miss := room - scout.referenceFits[i].predict(wave)
		m.periodErrors[i] = errorForgetting*m.periodErrors[i] + miss*miss/variance
		scout.referenceFits[i].update(wave, room, variance)
	}
	for i := range m.periodErrors {
		if m.periodErrors[i] < periodHysteresis*m.periodErrors[m.periodIndex] {
			m.periodIndex = i
		}
	}
}

// bestPeriod returns the number of the period that predicts bestPeriod, and false while it is not much
// better than "as it was".
func (m *cycleModel) bestPeriod() (int, bool) {
	return m.periodIndex, m.samples >= minCycleSamples && m.periodErrors[m.periodIndex] < maxErrorRatio*m.persistenceError
}

// headroomAt returns the room that is expected at a time, and false while the task's load is
// not known to swing.
func (m *cycleModel) headroomAt(known *loadCycle, at time.Duration) (float64, bool) {
	if known == nil || known.periodIndex < 0 {
		return 0, false
	}
	if best, ok := m.bestPeriod(); !ok || best != known.periodIndex {
		return 0, false
	}
	return known.fit.predict(sinusoidBasis(candidatePeriods[known.periodIndex], at)), true
}

// typicalLow returns how low the room of a serving task falls by itself.
func (m *cycleModel) typicalLow() float64 {
	if m.samples == 0 {
		return defaultLow
	}
	return m.meanHeadroom - max(initialDip, m.meanAmplitude)
}
