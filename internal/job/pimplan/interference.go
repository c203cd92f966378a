package pimplan

import "slices"

type (
	// interferenceModel learns how much a core that a filling image uses takes from the room of
	// a serving image. Room is the target divided by the tail latency: the tail of a queue
	// grows as one over what is left of its capacity, so that what disturbs it takes the same
	// from its room whatever its own load is, while the tail itself may grow a little or
	// many times over. At 1 a task is at its target; without any load it may be at 4.
	//
	// The load of a serving task swings more than what fills beside it changes, so the
	// regression is over differences between two lists of a worker about a second apart.
	interferenceModel struct {
		imageIndexes map[string]int
		regressions  map[string]*regression
		// cycles tells how rooms change by themselves.
		cycles cycleModel
	}

	// regression holds the normal equations of (loss of room) = sum of harm x cores.
	regression struct {
		matrix       [][]float64
		vector       []float64
		coefficients []float64
		// sampleWeight is that of the next sample.
		sampleWeight float64
		samples      int
		solvedAt     int
	}
)

const (
	// maxBestEffortImages bounds the filling images that are told apart.
	maxBestEffortImages = 24
	// sampleDecay is the weight that a sample keeps with each later one.
	sampleDecay = 0.9995
	// priorInterference is taken for a pair of which nothing is known: between the harmless and
	// the disturbing pairs that the users' platform shows.
	priorInterference = 0.06
	// priorWeight is how many squared cores of samples outweigh the prior.
	priorWeight = 10.0
	// maxSampleWeight is the weight of a sample at which all are scaled back.
	maxSampleWeight = 4.0
	// halfWeightNoise is the spread of a loss of room at which a sample counts half.
	halfWeightNoise = 0.2
	// solveInterval is how many samples come before the harm is worked out anew.
	solveInterval = 16
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{imageIndexes: map[string]int{}, regressions: map[string]*regression{}}
}

func newRegression() *regression {
	r := &regression{sampleWeight: 1, vector: make([]float64, maxBestEffortImages), coefficients: make([]float64, maxBestEffortImages)}
	for i := range maxBestEffortImages {
		row := make([]float64, maxBestEffortImages)
		row[i] = priorWeight
		r.matrix = append(r.matrix, row)
		r.vector[i] = priorWeight * priorInterference
		r.coefficients[i] = priorInterference
	}
	return r
}

func (m *interferenceModel) indexOf(name string) (int, bool) {
	index, ok := m.imageIndexes[name]
	if !ok && len(m.imageIndexes) < maxBestEffortImages {
		index = len(m.imageIndexes)
		m.imageIndexes[name] = index
		ok = true
	}
	return index, ok
}

// perCore returns the room that one core of a filling image takes from a serving image.
func (m *interferenceModel) perCore(serving, filling string) float64 {
	model := m.regressions[serving]
	index, ok := m.indexOf(filling)
	if model == nil || !ok {
		return priorInterference
	}
	return max(0, model.coefficients[index])
}

// headroomTaken returns the room that filling images take, from the cores that each uses.
func (m *interferenceModel) headroomTaken(serving string, cores []float64) float64 {
	model := m.regressions[serving]
	if model == nil {
		model = newRegression()
		m.regressions[serving] = model
	}
	sum := 0.0
	for i, used := range cores {
		sum += max(0, model.coefficients[i]) * used
	}
	return sum
}

// observe takes in that a serving task lost room while the cores that filling images use changed.
// The noise is the spread of the loss.
func (m *interferenceModel) observe(serving string, changes []float64, loss, noise float64) {
	model := m.regressions[serving]
	if model == nil {
		model = newRegression()
		m.regressions[serving] = model
	}
	model.addSample(changes, loss, 1/(1+noise*noise/(halfWeightNoise*halfWeightNoise)))
}

// addSample takes in a sample that counts for a share of one. Instead of old samples losing
// weight, new ones gain it.
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
		r.coefficients = solve(r.matrix, r.vector)
	}
}

// rescale brings the weight of a new sample back to one, the prior's weight aside.
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

// solve returns x of matrix x = vector by elimination; the matrix is positive definite.
func solve(matrix [][]float64, vector []float64) []float64 {
	n := len(vector)
	rows := make([][]float64, n)
	for i := range n {
		rows[i] = append(slices.Clone(matrix[i]), vector[i])
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

// millicoresPerCore converts thousandths of a core.
const millicoresPerCore = 1000.0
