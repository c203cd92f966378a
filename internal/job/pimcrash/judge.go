// Package pimcrash estimates which of the runs on a worker that crashed was the cause, from their ages and from earlier
// crashes under their tasks. It is deterministic: the replicated state uses it, so that all replicas and all later leaders
// hold the same estimates.
package pimcrash

import "time"

type (
	// Record is what is known about the crashes under a task. The zero value is that of a task without any.
	Record struct {
		// Count is how many workers have crashed under the task, without a long run in between. Confirmed counts those of
		// them that are known to have begun its run.
		Count     int `msgpack:"n"`
		Confirmed int `msgpack:"c,omitempty"`
		// Permille is the probability, in thousandths, that the task caused the last of them.
		Permille int `msgpack:"p"`
		// Age is how long its run had existed when the last of them crashed.
		Age time.Duration `msgpack:"a"`
		// JudgedAt is when the last of them was judged, in milliseconds since 1970.
		JudgedAt int64 `msgpack:"t"`
	}

	// Suspect is a run on a worker that crashed. Group is the job of its task, Confirmed means that the worker is known to
	// have begun the run.
	Suspect struct {
		Group     string
		Age       time.Duration
		Confirmed bool
		Record    Record
	}

	// Verdict is the new record of a task, and whether it is to be given up.
	Verdict struct {
		Record  Record
		GivenUp bool
	}
)

const (
	// ageOffset limits the weight of a run that has just been started: its start is recorded before the worker has it.
	ageOffset = 100 * time.Millisecond
	// otherCauses is the weight of all causes other than the runs, that of a run with an age of 0.9 s.
	otherCauses = 1.0
	// A task is likelier the cause if it seemed to be the cause of an earlier crash: by up to repeatFactor, or, at a similar
	// age as then, by similarFactor and up to similarShareFactor.
	repeatFactor, similarFactor, similarShareFactor = 4.0, 10.0, 20.0
	// similarAge is how much the ages at two crashes may differ, beside a tenth of the lower one.
	similarAge = 100 * time.Millisecond
	// A task is not given up for less than minConfirmed crashes under runs that are known to have begun, but for
	// maxUnconfirmed in all: then its workers seem to crash before they can respond.
	minConfirmed, maxUnconfirmed = 2, 4
	// clearedAfter is how long beyond four times the age at the last crash a run must have lasted to clear its task.
	clearedAfter = 5 * time.Second
	// suspectPermille is the probability from which a task is a suspect.
	suspectPermille = 50
)

// IsSuspect reports whether the task may well have caused a crash.
func (r *Record) IsSuspect() bool { return r != nil && r.Permille >= suspectPermille }

// Judge returns the verdicts on the runs that a worker had when it crashed, in the same order. Most likely causes are a
// young run and one whose task has been on a crashed worker before. While many workers crash for other reasons, a task is
// given up one crash later.
func Judge(suspects []Suspect, othersCrash bool) []Verdict {
	weights, total := make([]float64, len(suspects)), otherCauses
	for i := range suspects {
		weights[i] = float64(suspects[i].weight())
		total += weights[i]
	}
	verdicts := make([]Verdict, len(suspects))
	// ofGroup sums the probabilities of the repeated suspects of a job: giving up any of them ends the job.
	ofGroup := map[string]int{}
	for i := range suspects {
		s := &suspects[i]
		record := Record{Count: 1, Permille: int(1000 * weights[i] / total), Age: s.Age}
		if s.Confirmed {
			record.Confirmed = 1
		}
		if !s.isCleared() {
			record.Count += s.Record.Count
			record.Confirmed += s.Record.Confirmed
		}
		verdicts[i].Record = record
		if record.Count > 1 {
			ofGroup[s.Group] += record.Permille
		}
	}
	for i := range verdicts {
		verdicts[i].GivenUp = suspects[i].isGivenUp(verdicts[i].Record, ofGroup[suspects[i].Group], othersCrash)
	}
	return verdicts
}

// isGivenUp reports whether the task, with a new record, is given up. The more workers have crashed under it, the less
// certain the last verdict has to be. Source of the bounds: the platform's specification lets a task be given up after two
// crashes, and be started twice more after three.
func (s *Suspect) isGivenUp(record Record, permille int, othersCrash bool) bool {
	count := record.Count
	switch {
	case record.Confirmed < minConfirmed && count < maxUnconfirmed:
		return false
	case count == 2:
		return permille >= 900 && s.isSimilar() && s.Record.IsSuspect() && !othersCrash
	case count == 3 && othersCrash:
		return permille >= 900 && s.isSimilar()
	case count == 3:
		return permille >= 900 || (permille >= 500 && s.isSimilar())
	case count == 4 && othersCrash:
		return permille >= 500
	case count == 4:
		return permille >= 250
	default:
		return permille >= 100
	}
}

// weight is proportional to the probability that the run caused the crash. A task that crashes its workers mostly does so
// soon after its start. The conversions keep the compiler from fusing operations, which would give replicas on different
// processors different results.
func (s *Suspect) weight() float64 {
	age := (max(0, s.Age) + ageOffset).Seconds()
	weight := 1 / (age * age)
	if s.Record.Count == 0 || s.isCleared() {
		return weight
	}
	probability := float64(s.Record.Permille) / 1000
	if s.isSimilar() {
		return weight * similarFactor * (1 + float64(similarShareFactor*probability))
	}
	return weight * (1 + float64(repeatFactor*probability))
}

// isSimilar reports whether the run is about as old as that at the last crash.
func (s *Suspect) isSimilar() bool {
	younger := min(s.Age, s.Record.Age)
	return max(s.Age, s.Record.Age) <= younger+younger/10+similarAge
}

// isCleared reports whether the run has lasted so much longer than the one at the last crash that its task didn't cause it.
func (s *Suspect) isCleared() bool { return s.Record.Count > 0 && s.Age > 4*s.Record.Age+clearedAfter }
