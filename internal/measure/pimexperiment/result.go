package pimexperiment

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
)

type (
	// Result is what came of one play.
	Result struct {
		Seed  uint64
		Kinds []KindResult
		// ServingOwed is the time of all serving tasks from their arrival to the end of the day, ServingTime that part of it at
		// which they were at work, OverTarget that part over their targets.
		ServingOwed, ServingTime, OverTarget, OverTargetBesideBestEffort time.Duration
		// WorkDiscarded is the work of stopped and lost runs in core-seconds.
		WorkDiscarded float64
	}

	// KindResult is what came of the jobs of a kind that end. Late jobs ended within three times their objective.
	KindResult struct {
		Name                        string
		Jobs, InTime, Late, TooLate int
		P50, P99                    time.Duration
		// LargestTenth is the share of the largest tenth of the jobs that ended in time or late.
		LargestTenth float64
		// Bound is the number of jobs in time that no order can exceed.
		Bound int
	}

	// Difference is how the share of jobs in time of a kind differs between two variants, in pairs with equal seeds.
	Difference struct {
		Kind           string
		Mean, StdError float64
	}
)

// lateFactor is the multiple of its objective within which a job has to end at all.
const lateFactor = 3

// summarize returns the result of the day.
func (d *day) summarize() Result {
	for i := range d.load.Kinds {
		if kind := &d.load.Kinds[i]; !kind.Serving {
			d.result.Kinds = append(d.result.Kinds, d.summarizeKind(kind))
		}
	}
	return d.result
}

func (d *day) summarizeKind(kind *Kind) KindResult {
	result := KindResult{Name: kind.Name}
	histogram := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var jobs []*playedJob
	served := map[*playedJob]bool{}
	for _, job := range d.jobs {
		if job.kind != kind {
			continue
		}
		jobs = append(jobs, job)
		record := d.state.Job(job.id)
		if record == nil || record.State != pimjob.Completed {
			result.TooLate++
			continue
		}
		took := time.Duration(record.EndedAt-record.AcceptedAt) * time.Millisecond
		if err := histogram.RecordValue(max(1, took.Milliseconds())); err != nil {
			continue
		}
		switch {
		case took <= job.objective:
			result.InTime++
			served[job] = true
		case took <= lateFactor*job.objective:
			result.Late++
			served[job] = true
		default:
			result.TooLate++
		}
	}
	result.Jobs = len(jobs)
	result.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Millisecond
	result.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Millisecond
	result.Bound = inTimeBound(jobs, d.cores())
	slices.SortFunc(jobs, func(a, b *playedJob) int { return cmp.Compare(b.work, a.work) })
	largest := jobs[:(len(jobs)+9)/10]
	for _, job := range largest {
		if served[job] {
			result.LargestTenth += 1 / float64(len(largest))
		}
	}
	return result
}

// cores returns the processor time that best-effort and short tasks can have: all that serving tasks do not use on average.
func (d *day) cores() float64 {
	cores := float64(d.load.Hosts.Millicores) * float64(len(d.hosts)) / 1000
	for i := range d.load.Kinds {
		if kind := &d.load.Kinds[i]; kind.Serving {
			cores -= float64(kind.AtStart) * kind.Tasks * kind.Cores * meanLoad
		}
	}
	return max(1, cores)
}

// inTimeBound returns the number of jobs in time that no order can exceed: the most jobs that meet their deadlines if all were
// known from the arrival of the first one on and their work could be divided at will (Moore and Hodgson).
func inTimeBound(jobs []*playedJob, cores float64) int {
	if len(jobs) == 0 {
		return 0
	}
	begin := jobs[0].at
	sorted := slices.SortedFunc(slices.Values(jobs), func(a, b *playedJob) int {
		return cmp.Compare(a.at+a.objective, b.at+b.objective)
	})
	var chosen []float64
	work := 0.0
	for _, job := range sorted {
		at, _ := slices.BinarySearch(chosen, job.work)
		chosen = slices.Insert(chosen, at, job.work)
		if work += job.work; work > cores*(job.at+job.objective-begin).Seconds() {
			work -= chosen[len(chosen)-1]
			chosen = chosen[:len(chosen)-1]
		}
	}
	return len(chosen)
}

// Merge adds up the results of several seeds. Quantiles become means.
func Merge(results []Result) Result {
	merged := Result{Kinds: slices.Clone(results[0].Kinds)}
	for i := range merged.Kinds {
		merged.Kinds[i] = KindResult{Name: results[0].Kinds[i].Name}
		for _, result := range results {
			k := &merged.Kinds[i]
			k.Jobs += result.Kinds[i].Jobs
			k.InTime += result.Kinds[i].InTime
			k.Late += result.Kinds[i].Late
			k.TooLate += result.Kinds[i].TooLate
			k.Bound += result.Kinds[i].Bound
			k.P50 += result.Kinds[i].P50 / time.Duration(len(results))
			k.P99 += result.Kinds[i].P99 / time.Duration(len(results))
			k.LargestTenth += result.Kinds[i].LargestTenth / float64(len(results))
		}
	}
	for _, result := range results {
		merged.ServingOwed += result.ServingOwed
		merged.ServingTime += result.ServingTime
		merged.OverTarget += result.OverTarget
		merged.OverTargetBesideBestEffort += result.OverTargetBesideBestEffort
		merged.WorkDiscarded += result.WorkDiscarded / float64(len(results))
	}
	return merged
}

// Compare returns the paired differences of two variants that were played with the same seeds.
func Compare(base, variant []Result) []Difference {
	var differences []Difference
	for i, kind := range base[0].Kinds {
		var values []float64
		mean := 0.0
		for n := range base {
			value := variant[n].Kinds[i].shareInTime() - base[n].Kinds[i].shareInTime()
			values, mean = append(values, value), mean+value/float64(len(base))
		}
		variance := 0.0
		for _, value := range values {
			variance += (value - mean) * (value - mean)
		}
		stdError := 0.0
		if n := float64(len(values)); n > 1 {
			stdError = math.Sqrt(variance / (n - 1) / n)
		}
		differences = append(differences, Difference{kind.Name, mean, stdError})
	}
	return differences
}

func (k *KindResult) shareInTime() float64 { return float64(k.InTime) / float64(max(1, k.Jobs)) }

// WriteTable writes a result for people.
func (r *Result) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "%-12s %6s %8s %6s %8s %7s %8s %8s %14s\n",
		"kind", "jobs", "in time", "late", "too late", "bound", "p50 ms", "p99 ms", "largest tenth")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		fmt.Fprintf(out, "%-12s %6d %8.3f %6.3f %8.3f %7.3f %8d %8d %14.3f\n", k.Name, k.Jobs, k.shareInTime(),
			float64(k.Late)/float64(max(1, k.Jobs)), float64(k.TooLate)/float64(max(1, k.Jobs)),
			float64(k.Bound)/float64(max(1, k.Jobs)), k.P50.Milliseconds(), k.P99.Milliseconds(), k.LargestTenth)
	}
	fmt.Fprintf(out, "serving tasks at work %.4f of their time, over target %.4f, beside best-effort tasks %.4f; "+
		"work discarded %.0f core-seconds\n", r.ServingTime.Seconds()/max(1, r.ServingOwed.Seconds()),
		r.OverTarget.Seconds()/max(1, r.ServingTime.Seconds()),
		r.OverTargetBesideBestEffort.Seconds()/max(1, r.ServingTime.Seconds()), r.WorkDiscarded)
}

// WriteCSV writes a line for each kind of each result.
func WriteCSV(out io.Writer, variant string, results []Result) error {
	writer := csv.NewWriter(out)
	for _, result := range results {
		for i := range result.Kinds {
			k := &result.Kinds[i]
			line := []string{
				variant, strconv.FormatUint(result.Seed, 10), k.Name, strconv.Itoa(k.Jobs), strconv.Itoa(k.InTime), strconv.Itoa(k.Late),
				strconv.Itoa(k.TooLate), strconv.Itoa(k.Bound), strconv.FormatInt(k.P50.Milliseconds(), 10),
				strconv.FormatInt(k.P99.Milliseconds(), 10),
			}
			if err := writer.Write(line); err != nil {
				return err
			}
		}
	}
	writer.Flush()
	return writer.Error()
}
