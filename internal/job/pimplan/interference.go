package pimplan

import "slices"

type (
	// interferenceModel estimates, for each pair of images, how much headroom a serving task loses
	// for each core that a best-effort task uses on the same host.
	//
	// Headroom is the target latency divided by the tail latency: 1 means that a task is at its
	// target, and an idle task may have 4. The tail latency of a queue grows as 1/(spare capacity).
	// Interference therefore takes about the same headroom at any load, while it may raise the
	// latency slightly or many times over.
	//
	// The load of a serving task varies more than the best-effort work beside it. The regression is
	// therefore over differences between two consecutive reports of a worker, about a second apart.
	interferenceModel struct {
		imageIndexes map[string]int
		regressions  map[string]*regression
		// cycles predicts how headroom changes with the load of the serving tasks themselves.
		cycles cycleModel
	}

	// regression holds the normal equations of a regression for one serving image:
	// loss of headroom = sum over best-effort images of coefficient * change in cores. It is
	// regularised towards priorInterference. Matrix, vector and coefficients are ordered by image
	// index.
	regression struct {
		matrix       [][]float64
		vector       []float64
		coefficients []float64
		// sampleWeight is the weight of the next sample.
		sampleWeight float64
		samples      int
		// solvedAt is the number of samples at which coefficients were last computed.
		solvedAt int
	}
)

const (
	// maxBestEffortImages limits the best-effort images that are modelled separately. All others are
	// taken to have priorInterference.
	maxBestEffortImages = 64
	// sampleDecay is the factor by which each new sample reduces the weight of earlier ones.
	sampleDecay = 0.9995
	// priorInterference is assumed for a pair of images without samples, in headroom per core. It
	// lies between the values of harmless and of interfering pairs on the target platform.
	priorInterference = 0.06
	// priorWeight is the weight of the prior, in squared cores of samples.
	priorWeight = 10.0
	// maxSampleWeight is the weight of a new sample at which all weights are scaled down.
	maxSampleWeight = 4.0
	// halfWeightNoise is the standard deviation of a loss of headroom at which a sample counts half.
	halfWeightNoise = 0.2
	// solveInterval is the number of samples after which the coefficients are computed again.
	solveInterval = 16
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{imageIndexes: map[string]int{}, regressions: map[string]*regression{}}
}

func newRegression() *regression {
	r := &regression{
		sampleWeight: 1,
		vector:       make([]float64, maxBestEffortImages),
		coefficients: make([]float64, maxBestEffortImages),
	}
	for i := range maxBestEffortImages {
		row := make([]float64, maxBestEffortImages)
		row[i] = priorWeight
		r.matrix = append(r.matrix, row)
		r.vector[i] = priorWeight * priorInterference
		r.coefficients[i] = priorInterference
	}
	return r
}

// indexOf returns the index of a best-effort image and assigns one to a new image. It returns false
// if maxBestEffortImages others have one.
func (m *interferenceModel) indexOf(name string) (int, bool) {
	index, ok := m.imageIndexes[name]
	if !ok && len(m.imageIndexes) < maxBestEffortImages {
		index = len(m.imageIndexes)
		m.imageIndexes[name] = index
		ok = true
	}
	return index, ok
}

// perCore returns the headroom that a serving image loses for each core that a best-effort image
// uses.
func (m *interferenceModel) perCore(serving, bestEffort string) float64 {
	fit := m.regressions[serving]
	index, ok := m.indexOf(bestEffort)
	if fit == nil || !ok {
		return priorInterference
	}
	return max(0, fit.coefficients[index])
}

// headroomTaken returns the headroom that a serving image loses in total. Cores holds the cores that
// each best-effort image uses, by image index.
func (m *interferenceModel) headroomTaken(serving string, cores []float64) float64 {
	fit := m.regressions[serving]
	if fit == nil {
		fit = newRegression()
		m.regressions[serving] = fit
	}
	sum := 0.0
	for i, used := range cores {
		sum += max(0, fit.coefficients[i]) * used
	}
	return sum
}

// observe records the headroom that a serving task lost while the cores used by best-effort images
// changed. Changes is ordered by image index, and noise is the standard deviation of the loss.
func (m *interferenceModel) observe(serving string, changes []float64, loss, noise float64) {
	fit := m.regressions[serving]
	if fit == nil {
		fit = newRegression()
		m.regressions[serving] = fit
	}
	fit.addSample(changes[:len(m.imageIndexes)], loss, 1/(1+noise*noise/(halfWeightNoise*halfWeightNoise)))
}

// addSample adds a sample with the given share of a full weight. Changes has an element for each image
// seen so far. Instead of lowering the weight of old samples, it raises that of new ones.
func (r *regression) addSample(changes []float64, loss, share float64) {
	r.sampleWeight /= sampleDecay
	weight := r.sampleWeight * share
	for i, a := range changes {
		if a == 0 {
			continue
		}
		for j, b := range changes {
			r.matrix[i][j] += weight * a * b
		}
		r.vector[i] += weight * a * loss
	}
	r.samples++
	if r.sampleWeight > maxSampleWeight {
		r.rescale()
	}
	if r.samples-r.solvedAt >= solveInterval {
		r.solvedAt = r.samples
		copy(r.coefficients, solve(r.matrix, r.vector, len(changes)))
	}
}

// rescale scales all samples down so that the next one has weight 1. The prior keeps its weight.
func (r *regression) rescale() {
	for i := range r.matrix {
		r.vector[i] = (r.vector[i]-priorWeight*priorInterference)/r.sampleWeight + priorWeight*priorInterference
		for j := range r.matrix[i] {
			if i == j {
				r.matrix[i][j] = (r.matrix[i][j]-priorWeight)/r.sampleWeight + priorWeight
			} else {
				r.matrix[i][j] /= r.sampleWeight
			}
		}
	}
	r.sampleWeight = 1
}

// solve returns the first n elements of x of matrix * x = vector, where the others do not depend on
// them, by Gaussian elimination. It needs no pivoting, as the matrix is positive definite.
func solve(matrix [][]float64, vector []float64, n int) []float64 {
	rows := make([][]float64, n)
	for i := range n {
		rows[i] = append(slices.Clone(matrix[i][:n]), vector[i])
	}
	for i := range n {
		for r := i + 1; r < n; r++ {
			factor := rows[r][i] / rows[i][i]
			if factor == 0 {
				continue
			}
			for k := i; k <= n; k++ {
				rows[r][k] -= factor * rows[i][k]
			}
		}
	}
	x := make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		sum := rows[i][n]
		for k := i + 1; k < n; k++ {
			sum -= rows[i][k] * x[k]
		}
		x[i] = sum / rows[i][i]
	}
	return x
}

const millicoresPerCore = 1000.0
