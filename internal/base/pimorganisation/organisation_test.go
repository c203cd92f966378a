package pimorganisation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimorganisation"
)

func cpu(millis int64) pimorganisation.Resources { return pimorganisation.Resources{CPUMillis: millis} }

func TestAdmits(t *testing.T) {
	both := pimorganisation.Resources{CPUMillis: 100, MemoryMB: 100}
	for _, c := range []struct {
		name              string
		quota, used, need pimorganisation.Resources
		count             int
		expected          bool
	}{
		{"no limit", cpu(0), cpu(1 << 40), cpu(1 << 40), 9, true},
		{"up to the quota", cpu(100), cpu(60), cpu(40), 1, true},
		{"beyond the quota", cpu(100), cpu(60), cpu(41), 1, false},
		{"a large task at half of the quota", cpu(100), cpu(50), cpu(900), 1, true},
		{"a large task above half of an odd quota", cpu(101), cpu(51), cpu(900), 1, false},
		{"a gang whose last member exceeds the quota", cpu(100), cpu(0), cpu(40), 3, true},
		{"a gang of which two members exceed the quota", cpu(100), cpu(0), cpu(60), 3, false},
		{"a task without a need while the quota is exceeded", cpu(100), cpu(101), cpu(0), 1, false},
		{
			"a large task while more than half of another resource is used", both,
			pimorganisation.Resources{CPUMillis: 10, MemoryMB: 60},
			cpu(95), 1, false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := pimorganisation.Organisation{Quota: c.quota}
			assert.Equal(t, o.Admits(c.used, c.need, c.count), c.expected)
		})
	}
}

func TestKeys(t *testing.T) {
	organisations := []pimorganisation.Organisation{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}}
	for key, expected := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "": "", "k": "", "k11": "", "K1": ""} {
		found := pimorganisation.FindByKey(organisations, key)
		assert.Equal(t, found != nil, expected != "", "key %q", key)
		if found != nil {
			assert.Equal(t, found.Name, expected)
		}
	}
	// SHA-256 of "abc" begins with ba7816bf (FIPS 180-2, appendix B.1).
	assert.Equal(t, pimorganisation.Digest("abc"), "ba7816bf")
}

func TestCheck(t *testing.T) {
	type organisations = []pimorganisation.Organisation
	valid := organisations{{Name: "a", Keys: []string{"k1", "k1"}}, {Name: "b", Keys: []string{"k2"}}, {Name: "c"}}
	assert.NilError(t, pimorganisation.Check(valid))
	for field, invalid := range map[string]organisations{
		"name":   {{Name: ""}},
		"twice":  {{Name: "a"}, {Name: "a"}},
		"key":    {{Name: "a", Keys: []string{""}}},
		"share":  {{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}},
		"weight": {{Name: "a", Weight: -1}},
		"quota":  {{Name: "a", Quota: cpu(-1)}},
	} {
		t.Run(field, func(t *testing.T) {
			err := pimorganisation.Check(invalid)
			assert.Equal(t, pimcode.Of(err), pimcode.ManifestInvalid)
			assert.ErrorContains(t, err, field)
			assert.Assert(t, !strings.Contains(err.Error(), "secret"), "keys must not be in texts")
		})
	}
}
