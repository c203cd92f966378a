package pimplan

import (
	"math"
	"time"
)

type (
	// cycleModel predicts how the headroom of serving tasks varies with their own load, which rises
	// and falls periodically with the number of users. The headroom that a task has without
	// best-effort tasks beside it is fitted as
	//
	//	headroom(t) = mean + a sin(2 pi t / period) + b cos(2 pi t / period)
	//
	// Mean, a and b differ between tasks, the period does not. Reference tasks are fitted for each
	// of candidatePeriods, and together tell which period predicts best. All other tasks are fitted
	// for that period only.
	cycleModel struct {
		// periodErrors are the squared prediction errors by period, relative to the variance of the
		// values and with older ones discounted. persistenceError is that of predicting the previous
		// value.
		periodErrors     [len(candidatePeriods)]float64
		persistenceError float64
		samples          int
		tasks            int
		// periodIndex is the index of the period that predicts best.
		periodIndex int
		// meanHeadroom is the mean over all tasks, meanAmplitude that of the amplitudes fitted for
		// the best period.
		meanHeadroom, meanAmplitude float64
	}

	// loadCycle is the fit of one serving task for the period with index periodIndex, which is -1
	// while there is no fit. Only reference tasks have referenceFits, one for each period.
	loadCycle struct {
		fit           sinusoidFit
		periodIndex   int
		referenceFits *[len(candidatePeriods)]sinusoidFit
		lastHeadroom  float64
	}

	// sinusoidFit is a recursive least-squares fit: mean, a and b, and their covariance.
	sinusoidFit struct {
		coefficients [3]float64
		covariance   [3][3]float64
	}
)

// candidatePeriods are the periods that are told apart, in seconds. Neighbours differ by a
// sixteenth, so that a fit is at most a tenth of a period out of phase over the samples that count
// in it.
var candidatePeriods = [...]float64{
	4, 4.25, 4.5, 4.8, 5.1, 5.4, 5.75, 6.1, 6.5, 6.9, 7.35, 7.8,
	8.3, 8.8, 9.35, 9.9, 10.55, 11.2, 11.9, 12.6, 13.4,
	14.25, 15.1, 16.1, 17.1, 18.1, 19.3, 20.5, 21.8, 23.1, 24.6, 26.1,
}

const (
	// fitForgetting is the factor by which each new sample of a fit reduces the weight of earlier
	// ones.
	fitForgetting = 0.95
	// errorForgetting is the same factor for the prediction errors over all tasks.
	errorForgetting = 0.9995
	// meanForgetting is the same factor for meanHeadroom and meanAmplitude.
	meanForgetting = 0.998
	// priorMeanStdDev and priorAmplitudeStdDev are the standard deviations assumed for a task
	// without samples: of its mean around that of all tasks, and of a and b around 0.
	priorMeanStdDev      = 0.4
	priorAmplitudeStdDev = 0.7
	// periodHysteresis is the share of the error of the current period that the error of another must
	// stay below to replace it. Without this margin neighbours would alternate, and each change
	// restarts most fits.
	periodHysteresis = 0.95
	// The first firstReferenceTasks tasks are reference tasks, and after them one in
	// referenceTaskInterval.
	firstReferenceTasks   = 256
	referenceTaskInterval = 16
	// Predictions are used from minCycleSamples samples on, if their error is less than
	// maxErrorRatio of persistenceError.
	minCycleSamples = 200
	maxErrorRatio   = 0.8
	// defaultLow is the low of the headroom that is assumed before any serving task was reported.
	defaultLow = 1.5
	// headroomStdDev is the standard deviation of a headroom apart from rounding,
	// interferenceUncertainty the uncertain share of the headroom that best-effort tasks take.
	headroomStdDev          = 0.05
	interferenceUncertainty = 0.3
	// uniformStdDev is the standard deviation of the error of rounding to an integer: 1 / sqrt(12).
	uniformStdDev = 0.29
)

// roundingStdDev returns the standard deviation of a headroom whose tail latency is rounded to whole
// milliseconds.
func roundingStdDev(headroom float64, target time.Duration) float64 {
	return uniformStdDev * headroom * headroom / max(1, float64(target.Milliseconds()))
}

// priorFit returns the fit of a task without samples, from the mean of all tasks.
func priorFit(mean float64) sinusoidFit {
	return sinusoidFit{
		coefficients: [3]float64{mean},
		covariance: [3][3]float64{
			{priorMeanStdDev * priorMeanStdDev},
			{0, priorAmplitudeStdDev * priorAmplitudeStdDev},
			{0, 0, priorAmplitudeStdDev * priorAmplitudeStdDev},
		},
	}
}

// sinusoidBasis returns the factors of mean, a and b at a time.
func sinusoidBasis(period float64, at time.Duration) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * at.Seconds() / period)
	return [3]float64{1, sin, cos}
}

func (f *sinusoidFit) predict(basis [3]float64) float64 {
	return f.coefficients[0]*basis[0] + f.coefficients[1]*basis[1] + f.coefficients[2]*basis[2]
}

// update adds a headroom with the variance of its noise to the fit.
func (f *sinusoidFit) update(basis [3]float64, headroom, variance float64) {
	var gain [3]float64
	innovationVariance := fitForgetting * variance
	for i := range gain {
		for j := range basis {
			gain[i] += f.covariance[i][j] * basis[j]
		}
		innovationVariance += basis[i] * gain[i]
	}
	residual := headroom - f.predict(basis)
	for i := range gain {
		f.coefficients[i] += gain[i] / innovationVariance * residual
		for j := range gain {
			f.covariance[i][j] -= gain[i] * gain[j] / innovationVariance
		}
	}
	// Forgetting scales the whole covariance. It is skipped if a variance would exceed its prior.
	for i := range gain {
		prior := priorAmplitudeStdDev * priorAmplitudeStdDev
		if i == 0 {
			prior = priorMeanStdDev * priorMeanStdDev
		}
		if f.covariance[i][i]/fitForgetting > prior {
			return
		}
	}
	for i := range gain {
		for j := range gain {
			f.covariance[i][j] /= fitForgetting
		}
	}
}

// observe adds a headroom that a task has without best-effort tasks beside it. Taken is the headroom
// that these take, noise the standard deviation from rounding. It returns the task's updated cycle;
// cycle is nil for a new task.
func (m *cycleModel) observe(cycle *loadCycle, at time.Duration, headroom, taken, noise float64) *loadCycle {
	if m.samples == 0 {
		m.meanHeadroom = headroom
	}
	m.samples++
	m.meanHeadroom = meanForgetting*m.meanHeadroom + (1-meanForgetting)*headroom
	variance := headroomStdDev*headroomStdDev + noise*noise +
		interferenceUncertainty*interferenceUncertainty*taken*taken
	if cycle == nil {
		cycle = &loadCycle{lastHeadroom: headroom, periodIndex: -1}
		if m.tasks++; m.tasks <= firstReferenceTasks || m.tasks%referenceTaskInterval == 0 {
			cycle.referenceFits = &[len(candidatePeriods)]sinusoidFit{}
			for i := range cycle.referenceFits {
				cycle.referenceFits[i] = priorFit(m.meanHeadroom)
			}
		}
	}
	if cycle.referenceFits != nil {
		m.scorePeriods(cycle, at, headroom, variance)
	}
	if best, ok := m.bestPeriod(); ok {
		if cycle.periodIndex != best {
			cycle.periodIndex, cycle.fit = best, priorFit(m.meanHeadroom)
		}
		if cycle.referenceFits != nil {
			cycle.fit = cycle.referenceFits[best]
		} else {
			cycle.fit.update(sinusoidBasis(candidatePeriods[best], at), headroom, variance)
		}
		m.meanAmplitude = meanForgetting*m.meanAmplitude +
			(1-meanForgetting)*math.Hypot(cycle.fit.coefficients[1], cycle.fit.coefficients[2])
	}
	cycle.lastHeadroom = headroom
	return cycle
}

// scorePeriods adds the prediction errors of a reference task, relative to the variance of the
// headroom, and selects the period that predicts best.
func (m *cycleModel) scorePeriods(reference *loadCycle, at time.Duration, headroom, variance float64) {
	m.persistenceError = errorForgetting*m.persistenceError +
		(headroom-reference.lastHeadroom)*(headroom-reference.lastHeadroom)/variance
	for i, period := range candidatePeriods {
		basis := sinusoidBasis(period, at)
		residual := headroom - reference.referenceFits[i].predict(basis)
		m.periodErrors[i] = errorForgetting*m.periodErrors[i] + residual*residual/variance
		reference.referenceFits[i].update(basis, headroom, variance)
	}
	for i := range m.periodErrors {
		if m.periodErrors[i] < periodHysteresis*m.periodErrors[m.periodIndex] {
			m.periodIndex = i
		}
	}
}

// bestPeriod returns the index of the period that predicts best, and false while it is not much
// better than predicting the previous value.
func (m *cycleModel) bestPeriod() (int, bool) {
	return m.periodIndex, m.samples >= minCycleSamples &&
		m.periodErrors[m.periodIndex] < maxErrorRatio*m.persistenceError
}

// headroomAt returns the headroom that is predicted for a time, and false while the task has no
// known load cycle.
func (m *cycleModel) headroomAt(cycle *loadCycle, at time.Duration) (float64, bool) {
	if cycle == nil || cycle.periodIndex < 0 {
		return 0, false
	}
	if best, ok := m.bestPeriod(); !ok || best != cycle.periodIndex {
		return 0, false
	}
	return cycle.fit.predict(sinusoidBasis(candidatePeriods[cycle.periodIndex], at)), true
}

// typicalLow returns how low a serving task's headroom typically falls through its own load.
func (m *cycleModel) typicalLow() float64 {
	if m.samples == 0 {
		return defaultLow
	}
	return m.meanHeadroom - max(initialDip, m.meanAmplitude)
}
