package pimcrash_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcrash"
)

const delay = 20 * time.Millisecond

// runsAged returns runs of different other jobs with the given ages.
func runsAged(ages ...time.Duration) []pimcrash.Suspect {
	var suspects []pimcrash.Suspect
	for i, age := range ages {
		suspects = append(suspects, pimcrash.Suspect{Group: string(rune('a' + i)), Age: age})
	}
	return suspects
}

// crashes judges a task that crashes a worker after each of the ages, each time beside others.
func crashes(others []pimcrash.Suspect, ages ...time.Duration) pimcrash.Verdict {
	var verdict pimcrash.Verdict
	for _, age := range ages {
		suspect := pimcrash.Suspect{Group: "job", Age: age, Confirmed: true, Record: verdict.Record}
		verdict = pimcrash.Judge(append([]pimcrash.Suspect{suspect}, others...), false)[0]
	}
	return verdict
}

// TestJudge guards against a task that crashes its workers and isn't recognized within the starts that it may have, and
// against tasks that are given up for crashes with another cause.
func TestJudge(t *testing.T) {
	busy := runsAged(200*time.Millisecond, 500*time.Millisecond, time.Second, time.Second, 3*time.Second)
	for name, test := range map[string]struct {
		others  []pimcrash.Suspect
		ages    []time.Duration
		givenUp bool
	}{
		"one crash proves nothing":                           {nil, []time.Duration{delay}, false},
		"two crashes right after the start":                  {busy, []time.Duration{delay, delay}, true},
		"three crashes beside runs that are as young":        {runsAged(delay, delay, delay), []time.Duration{delay, delay, delay}, true},
		"two crashes a second after the start":               {busy, []time.Duration{time.Second, time.Second}, false},
		"three crashes a second after the start":             {busy, []time.Duration{time.Second, time.Second, time.Second}, true},
		"two crashes at different ages, alone on the worker": {nil, []time.Duration{delay, 640 * time.Millisecond}, false},
		"crashes of a worker under old runs":                 {nil, []time.Duration{30 * time.Second, 3 * time.Second, 20 * time.Second}, false},
		"a long run clears the task":                         {busy, []time.Duration{delay, 6 * time.Second, delay}, false},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := crashes(test.others, test.ages...)
			assert.Equal(t, verdict.GivenUp, test.givenUp, "%+v", verdict.Record)
		})
	}
	t.Run("a task is not given up for others that crash its workers", func(t *testing.T) {
		others := append(busy, pimcrash.Suspect{Group: "cause", Age: delay})
		once := crashes(others, 700*time.Millisecond)
		assert.Assert(t, !once.Record.IsSuspect())
		assert.Assert(t, !crashes(others, 700*time.Millisecond, 700*time.Millisecond).GivenUp)
	})
	t.Run("while many workers crash for other reasons, a task is given up one crash later", func(t *testing.T) {
		var others pimcrash.Unexplained
		for i := range int64(3) {
			others.Add(1000 * i)
		}
		assert.Assert(t, !others.AreMany(2000, 10), "a task may still turn out to be the cause")
		assert.Assert(t, others.AreMany(15_000, 10) && !others.AreMany(15_000, 100) && !others.AreMany(100_000, 10))
		twice := pimcrash.Suspect{Group: "job", Age: delay, Confirmed: true, Record: crashes(busy, delay).Record}
		verdict := pimcrash.Judge([]pimcrash.Suspect{twice}, true)[0]
		assert.Assert(t, !verdict.GivenUp)
		twice.Record = verdict.Record
		assert.Assert(t, pimcrash.Judge([]pimcrash.Suspect{twice}, true)[0].GivenUp)
		others.Remove(1000)
		assert.Assert(t, !others.AreMany(15_000, 10))
	})
	t.Run("crashes under runs that may not have begun prove less", func(t *testing.T) {
		suspect := pimcrash.Suspect{Group: "job", Age: delay}
		for count := 1; count <= 5; count++ {
			verdict := pimcrash.Judge([]pimcrash.Suspect{suspect}, false)[0]
			assert.Equal(t, verdict.GivenUp, count >= 4, "%+v", verdict.Record)
			suspect.Record = verdict.Record
		}
	})
	t.Run("a fifth crash under an old run proves nothing", func(t *testing.T) {
		suspects := runsAged(delay, delay, delay)
		suspects = append(suspects, pimcrash.Suspect{
			Group: "job", Age: 4 * time.Second, Confirmed: true, Record: pimcrash.Record{Count: 4, Confirmed: 4, Age: time.Second},
		})
		assert.Assert(t, !pimcrash.Judge(suspects, false)[3].GivenUp)
	})
	t.Run("two tasks of a job together end it", func(t *testing.T) {
		both := runsAged(delay, delay)
		both[0].Group, both[1].Group = "job", "job"
		both[0].Confirmed, both[1].Confirmed = true, true
		for i, verdict := range pimcrash.Judge(both, false) {
			assert.Assert(t, !verdict.GivenUp)
			both[i].Record = verdict.Record
		}
		assert.Assert(t, pimcrash.Judge(both, false)[0].GivenUp)
	})
}
