package pimcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/alitto/pond/v2"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/entry/pimsetting"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimplan"
	"github.com/pimentoswitch/pimentoswitch/internal/measure/pimexperiment"
)

// maxExperimentSeeds bounds the time of an experiment: a seed of 48 hosts takes a second.
const maxExperimentSeeds = 1000

func newExperimentCommand() command {
	return command{
		name: "experiment",
		help: "Play a load in virtual time against modelled hosts: experiment FILE",
		example: "  pimentoswitch experiment internal/measure/pimexperiment/loads/mixed-images.yaml --seeds 20\n" +
			"  pimentoswitch experiment internal/measure/pimexperiment/loads/wide-behind-wide.yaml --without urgency-order",
		settings: []pimsetting.Setting{
			{Flag: "seeds", Default: "4", Help: "number of seeds", Rule: "must be a whole number from 1 to 1000", Check: pimsetting.IsIntIn(1, maxExperimentSeeds)},
			{Flag: "jobs", Default: "3", Help: "number of seeds that are played at the same time", Rule: "must be a whole number from 1 to 64", Check: pimsetting.IsIntIn(1, 64)},
			{Flag: "without", Default: "", Help: "mechanisms that a second variant is played without, separated by commas, see 'pimentoswitch mechanisms'"},
			{Flag: "csv", Default: "false", Help: "print a line for each seed and kind instead of tables", Rule: "must be true or false", Check: pimsetting.IsBool, Switch: true},
		},
		run: runExperiment,
	}
}

func runExperiment(_ context.Context, c *invocation) error {
	path, err := c.argument("the load file")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return pimcode.New(pimcode.SettingInvalid, "load file %q: %v", path, err)
	}
	load, err := pimexperiment.ParseLoad(data)
	if err != nil {
		return err
	}
	variants := [][]pimplan.Mechanism{nil}
	if names := c.settings.List("without"); len(names) > 0 {
		without, err := pimplan.ParseMechanisms(names)
		if err != nil {
			return err
		}
		variants = append(variants, without)
	}
	results := playVariants(load, variants, c.settings.Int("seeds"), c.settings.Int("jobs"))
	for i, name := range []string{"all", "without " + c.settings.Text("without")}[:len(variants)] {
		if c.settings.Bool("csv") {
			if err := pimexperiment.WriteCSV(c.out, name, results[i]); err != nil {
				return err
			}
			continue
		}
		merged := pimexperiment.Merge(results[i])
		fmt.Fprintf(c.out, "%s, %s, %d seeds\n", load.Name, name, len(results[i]))
		merged.WriteTable(c.out)
	}
	if len(variants) > 1 && !c.settings.Bool("csv") {
		for _, difference := range pimexperiment.Compare(results[0], results[1]) {
			fmt.Fprintf(c.out, "%-12s in time %+.4f, standard error %.4f\n", difference.Kind, difference.Mean, difference.StdError)
		}
	}
	return nil
}

// playVariants plays each variant with each seed.
func playVariants(load pimexperiment.Load, variants [][]pimplan.Mechanism, seeds, jobs int) [][]pimexperiment.Result {
	results := make([][]pimexperiment.Result, len(variants))
	pool := pond.NewPool(jobs)
	for v, without := range variants {
		results[v] = make([]pimexperiment.Result, seeds)
		for seed := range seeds {
			pool.Submit(func() { results[v][seed] = pimexperiment.Play(load, uint64(seed), without) })
		}
	}
	pool.StopAndWait()
	return results
}
