package pimplan

import "slices"

type (
	// harmModel learns how much a core that a filling image uses takes from the room of
	// a serving image. Room is the target divided by the tail latency: the tail of a queue
	// grows as one over what is left of its capacity, so that what disturbs it takes the same
	// from its room whatever its own load is, while the tail itself may grow a little or
	// many times over. At 1 a task is at its target; without any load it may be at 4.
	//
	// The load of a serving task swings more than what fills beside it changes, so the
	// regression is over differences between two lists of a worker about a second apart.
	harmModel struct {
		images map[string]int
		models map[string]*regression
		// swings tells how rooms change by themselves.
		swings swingModel
	}

	// regression holds the normal equations of (loss of room) = sum of harm x cores.
	regression struct {
		matrix [][]float64
		vector []float64
		harm   []float64
		// weight is that of the next sample.
		weight  float64
		samples int
		solved  int
	}
)

const (
	// maxImages bounds the filling images that are told apart.
	maxImages = 24
	// forgetting is the weight that a sample keeps with each later one.
	forgetting = 0.9995
	// priorHarm is taken for a pair of which nothing is known: between the harmless and
	// the disturbing pairs that the users' platform shows.
	priorHarm = 0.06
	// priorWeight is how many squared cores of samples outweigh the prior.
	priorWeight = 10.0
	// maxWeight is the weight of a sample at which all are scaled back.
	maxWeight = 4.0
	// fullNoise is the spread of a loss of room at which a sample counts half.
	fullNoise = 0.2
	// solveEvery is how many samples come before the harm is worked out anew.
	solveEvery = 16
)

func newHarmModel() *harmModel {
	return &harmModel{images: map[string]int{}, models: map[string]*regression{}}
}

func newRegression() *regression {
	r := &regression{weight: 1, vector: make([]float64, maxImages), harm: make([]float64, maxImages)}
	for i := range maxImages {
		row := make([]float64, maxImages)
		row[i] = priorWeight
		r.matrix = append(r.matrix, row)
		r.vector[i] = priorWeight * priorHarm
		r.harm[i] = priorHarm
	}
	return r
}

func (m *harmModel) image(name string) (int, bool) {
	index, ok := m.images[name]
	if !ok && len(m.images) < maxImages {
		index = len(m.images)
		m.images[name] = index
		ok = true
	}
	return index, ok
}

// harm returns the room that one core of a filling image takes from a serving image.
func (m *harmModel) harm(serving, filling string) float64 {
	model := m.models[serving]
	index, ok := m.image(filling)
	if model == nil || !ok {
		return priorHarm
	}
	return max(0, model.harm[index])
}

// taken returns the room that filling images take, from the cores that each uses.
func (m *harmModel) taken(serving string, cores []float64) float64 {
	model := m.models[serving]
	if model == nil {
		model = newRegression()
		m.models[serving] = model
	}
	sum := 0.0
	for i, used := range cores {
		sum += max(0, model.harm[i]) * used
	}
	return sum
}

// observe takes in that a serving task lost room while the cores that filling images use changed.
// The noise is the spread of the loss.
func (m *harmModel) observe(serving string, changes []float64, loss, noise float64) {
	model := m.models[serving]
	if model == nil {
		model = newRegression()
		m.models[serving] = model
	}
	model.add(changes, loss, 1/(1+noise*noise/(fullNoise*fullNoise)))
}

// add takes in a sample that counts for a share of one. Instead of old samples losing
// weight, new ones gain it.
func (r *regression) add(changes []float64, loss, share float64) {
	r.weight /= forgetting
	weight := r.weight * share
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
	if r.weight > maxWeight {
		r.decay()
	}
	if r.samples-r.solved >= solveEvery {
		r.solved = r.samples
		r.harm = solve(r.matrix, r.vector)
	}
}

// decay brings the weight of a new sample back to one, the prior's weight aside.
func (r *regression) decay() {
	for i := range r.matrix {
		r.vector[i] = (r.vector[i]-priorWeight*priorHarm)/r.weight + priorWeight*priorHarm
		for j := range r.matrix[i] {
			if i == j {
				r.matrix[i][j] = (r.matrix[i][j]-priorWeight)/r.weight + priorWeight
			} else {
				r.matrix[i][j] /= r.weight
			}
		}
	}
	r.weight = 1
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

// millisPerCore converts thousandths of a core.
const millisPerCore = 1000.0
