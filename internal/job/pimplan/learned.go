package pimplan

import (
	"maps"
	"slices"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

const (
	// maxServingImages limits the serving images whose interference is handed to the next leader.
	maxServingImages = 64
	// maxInheritedWeight limits the weight of inherited interference, so that a leader's own samples outweigh it within
	// some seconds where images have changed.
	maxInheritedWeight = 400.0
)

// Learned returns what the planner has learned about images, the durations of tasks and the health of hosts.
func (p *Planner) Learned() pimjob.Learned {
	model := p.interference
	learned := pimjob.Learned{
		Images: make([]string, len(model.imageIndexes)), Cycle: model.cycles.learned(), Durations: p.durations.Summary(),
		Health: p.health.Summary(p.generationOf),
	}
	for image, index := range model.imageIndexes {
		learned.Images[index] = image
	}
	for _, image := range slices.Sorted(maps.Keys(model.regressions)) {
		if len(learned.Serving) == maxServingImages {
			break
		}
		learned.Serving = append(learned.Serving, model.regressions[image].learned(image, len(learned.Images)))
	}
	return learned
}

// inherit starts the planner from what an earlier leader's planner learned.
func (p *Planner) inherit(learned pimjob.Learned) {
	for _, image := range learned.Images {
		p.interference.indexOf(image)
	}
	for _, serving := range learned.Serving {
		fit := newRegression()
		for i := range min(len(serving.PerCore), len(serving.Weight), maxBestEffortImages) {
			weight := priorWeight + min(maxInheritedWeight, float64(serving.Weight[i]))
			fit.matrix[i][i] = weight
			fit.vector[i] = weight * float64(serving.PerCore[i])
			fit.coefficients[i] = float64(serving.PerCore[i])
		}
		p.interference.regressions[serving.Image] = fit
	}
	p.interference.cycles.inherit(learned.Cycle)
	p.durations.Restore(learned.Durations)
	p.health.Restore(learned.Health, p.generationOf)
}

// learned returns the coefficients of the first images with the weight of their samples.
func (r *regression) learned(image string, images int) pimjob.LearnedInterference {
	learned := pimjob.LearnedInterference{Image: image}
	for i := range images {
		learned.PerCore = append(learned.PerCore, float32(r.coefficients[i]))
		learned.Weight = append(learned.Weight, float32(max(0, r.matrix[i][i]-priorWeight)/r.sampleWeight))
	}
	return learned
}

func (m *cycleModel) learned() pimjob.LearnedCycle {
	return pimjob.LearnedCycle{
		PeriodErrors: slices.Clone(m.periodErrors[:]), PersistenceError: m.persistenceError, Samples: m.samples,
		MeanHeadroom: m.meanHeadroom, MeanAmplitude: m.meanAmplitude,
	}
}

// inherit takes over the period and the means. The fits of the tasks begin anew.
func (m *cycleModel) inherit(learned pimjob.LearnedCycle) {
	if len(learned.PeriodErrors) != len(m.periodErrors) {
		return
	}
	copy(m.periodErrors[:], learned.PeriodErrors)
	m.persistenceError, m.samples = learned.PersistenceError, learned.Samples
	m.meanHeadroom, m.meanAmplitude = learned.MeanHeadroom, learned.MeanAmplitude
	for i := range m.periodErrors {
		if m.periodErrors[i] < m.periodErrors[m.periodIndex] {
			m.periodIndex = i
		}
	}
}
