package pimduration

import "math"

// histogram holds weights of ratios in buckets of equal logarithmic width, from 1/16 to 16. Ratios beyond are counted in
// the outermost buckets.
type histogram [buckets]float64

const (
	// bucketsPerDoubling gives a resolution of 9%, well below the third from which estimates count as wrong.
	bucketsPerDoubling = 8
	buckets            = 64
)

// prior is the distribution without samples.
var prior = newPrior()

func newPrior() histogram {
	var h histogram
	spread := math.Log2(priorSpread) * bucketsPerDoubling
	for i := range h {
		// The part of the bucket that lies within the spread.
		low, high := float64(i-buckets/2), float64(i+1-buckets/2)
		h[i] = max(0, min(high, spread)-max(low, -spread))
	}
	h.scale(priorWeight / h.total())
	return h
}

// position returns where a ratio lies, in buckets from the lower edge of the histogram.
func position(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return min(max(0, math.Log2(ratio)*bucketsPerDoubling+buckets/2), buckets)
}

func ratioAt(position float64) float64 {
	return math.Exp2((position - buckets/2) / bucketsPerDoubling)
}

// add adds a ratio, divided between the two buckets whose centres are nearest, so that the median is not biased.
func (h *histogram) add(ratio, weight float64) {
	centre := min(max(0, position(ratio)-0.5), buckets-1)
	low := int(centre)
	share := centre - float64(low)
	h[low] += weight * (1 - share)
	if share > 0 {
		h[low+1] += weight * share
	}
}

// addAbove adds a ratio of which only a lower bound is known, distributed like the weights above the bound.
func (h *histogram) addAbove(bound, weight float64) {
	above := h.above(bound)
	if above < minTail*h.total() {
		h.add(bound, weight)
		return
	}
	at := position(bound)
	for i := range h {
		h[i] += weight / above * h[i] * shareAbove(i, at)
	}
}

// shareAbove returns which share of a bucket lies above a position.
func shareAbove(bucket int, at float64) float64 { return min(max(0, float64(bucket+1)-at), 1) }

// above returns the weight above a ratio.
func (h *histogram) above(ratio float64) float64 {
	at, sum := position(ratio), 0.0
	for i := int(at); i < buckets; i++ {
		sum += h[i] * shareAbove(i, at)
	}
	return sum
}

// valueAbove returns the ratio above which the given weight lies.
func (h *histogram) valueAbove(weight float64) float64 {
	for i := buckets - 1; i >= 0; i-- {
		if h[i] > 0 && weight <= h[i] {
			return ratioAt(float64(i+1) - weight/h[i])
		}
		weight -= h[i]
	}
	return ratioAt(0)
}

// offBy returns the quantile of the factor by which ratios differ from 1 in either direction, less 1.
func (h *histogram) offBy(quantile float64) float64 {
	beyond := (1 - quantile) * h.total()
	for i := buckets/2 - 1; i >= 0; i-- {
		pair := h[buckets/2+i] + h[buckets/2-1-i]
		if pair > 0 && beyond <= pair {
			return ratioAt(buckets/2+float64(i+1)-beyond/pair) - 1
		}
		beyond -= pair
	}
	return 0
}

func (h *histogram) total() float64 {
	sum := 0.0
	for _, weight := range h {
		sum += weight
	}
	return sum
}

func (h *histogram) scale(factor float64) {
	for i := range h {
		h[i] *= factor
	}
}

func (h *histogram) addAll(other *histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

// nonZero returns the weights between the first and the last bucket with a weight that matters, and the first one.
func (h *histogram) nonZero() (int, []float32) {
	const negligible = 0.001
	first, last := buckets, -1
	for i, weight := range h {
		if weight >= negligible {
			first, last = min(first, i), i
		}
	}
	var weights []float32
	for i := first; i <= last; i++ {
		weights = append(weights, float32(h[i]))
	}
	return first, weights
}

// restore sets the weights from a bucket on, and reports whether they are valid.
func (h *histogram) restore(first int, weights []float32) bool {
	if first < 0 || first > buckets || len(weights) > buckets-first {
		return false
	}
	for i, weight := range weights {
		if !(weight >= 0) || weight > math.MaxFloat32/buckets {
			return false
		}
		h[first+i] = float64(weight)
	}
	return true
}
