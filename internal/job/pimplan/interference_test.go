package pimplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestManyImages guards against images that are never learned. A deployment may run more of them than those that were
// seen first.
func TestManyImages(t *testing.T) {
	const images = 40
	random := rand.New(rand.NewPCG(1, 1))
	model := newInterferenceModel()
	actual := make([]float64, images)
	for i := range actual {
		actual[i] = 0.2 * float64(i%2)
		_, known := model.indexOf(fmt.Sprintf("image-%d", i))
		assert.Assert(t, known, "image %d", i)
	}
	for range 4000 {
		changes := make([]float64, maxBestEffortImages)
		loss := 0.0
		for range 3 {
			i := random.IntN(images)
			cores := 8*random.Float64() - 4
			changes[i] += cores
			loss += actual[i] * cores
		}
		model.observe("serving", changes, loss, 0.05)
	}
	for i := range actual {
		learned := model.perCore("serving", fmt.Sprintf("image-%d", i))
		assert.Assert(t, math.Abs(learned-actual[i]) < 0.01, "image %d: learned %.3f, is %.3f", i, learned, actual[i])
	}
}
