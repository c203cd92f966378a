package pimplan

import (
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// harmModel learns how much a core that a filling image uses adds to the tail
	// latency of a serving image, as a share of the target: one linear regression with
	// slow forgetting for each serving image.
	harmModel struct {
		images map[string]int
		models map[string]*regression
	}

	// regression holds the normal equations of share = rest + sum of harm x cores.
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
	// priorHarm is taken for a pair of which nothing is known: four cores add a fifth
	// of the target.
	priorHarm = 0.05
	// priorWeight is how many squared cores of samples outweigh the prior.
	priorWeight = 30.0
	// maxWeight is the weight of a sample at which all are scaled back.
	maxWeight = 4.0
	// solveEvery is how many samples come before the harm is worked out anew.
	solveEvery = 64
)

func newHarmModel() *harmModel {
	return &harmModel{images: map[string]int{}, models: map[string]*regression{}}
}

func newRegression() *regression {
	r := &regression{weight: 1, vector: make([]float64, maxImages+1), harm: make([]float64, maxImages+1)}
	for i := range maxImages + 1 {
		row := make([]float64, maxImages+1)
		row[i] = priorWeight
		r.matrix = append(r.matrix, row)
		r.vector[i] = priorWeight * priorHarm
		r.harm[i] = priorHarm
	}
	r.matrix[maxImages][maxImages] = 0.01
	r.vector[maxImages] = 0
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

// harm returns the share of the target that one core of a filling image adds to the
// tail of a serving image.
func (m *harmModel) harm(serving, filling string) float64 {
	model := m.models[serving]
	index, ok := m.image(filling)
	if model == nil || !ok {
		return priorHarm
	}
	return max(0, model.harm[index])
}

// observe takes in what a worker listed at one time.
func (m *harmModel) observe(state *pimjob.State, rows []pimfleet.RunView) {
	features := make([]float64, maxImages+1)
	features[maxImages] = 1
	for _, view := range rows {
		if _, step, _ := state.Task(view.Row.Key); step != nil && step.Fills {
			if index, ok := m.image(step.Image); ok {
				features[index] += view.Row.Gauge / millisPerCore
			}
		}
	}
	for _, view := range rows {
		_, step, _ := state.Task(view.Row.Key)
		if step == nil || step.Target <= 0 || view.Row.Gauge <= 0 {
			continue
		}
		model := m.models[step.Image]
		if model == nil {
			model = newRegression()
			m.models[step.Image] = model
		}
		model.add(features, view.Row.Gauge/float64(step.Target.Milliseconds()))
	}
}

// millisPerCore converts thousandths of a core.
const millisPerCore = 1000.0

func (r *regression) add(features []float64, share float64) {
	// Instead of old samples losing weight, new ones gain it; decay scales all back.
	r.weight /= forgetting
	for i, a := range features {
		if a == 0 {
			continue
		}
		for j, b := range features {
			r.matrix[i][j] += r.weight * a * b
		}
		r.vector[i] += r.weight * a * share
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
		prior := 0.0
		if i < maxImages {
			prior = priorWeight
		}
		r.vector[i] = (r.vector[i]-prior*priorHarm)/r.weight + prior*priorHarm
		for j := range r.matrix[i] {
			if i == j {
				r.matrix[i][j] = (r.matrix[i][j]-prior)/r.weight + prior
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
