package pimcode_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

func ExampleNew() {
	err := pimcode.New(pimcode.QueueFull, "service %q has 10000 waiting", "callout")
	fmt.Println(err)
	fmt.Println(pimcode.Of(err) == pimcode.QueueFull)
	// Output:
	// 1103 queue-full: service "callout" has 10000 waiting
	// true
}

func TestTable(t *testing.T) {
	last := pimcode.OK
	names := map[string]bool{}
	for _, row := range pimcode.Table() {
		assert.Assert(t, row.Code > last, "%d is listed after %d", row.Code, last)
		assert.Assert(t, !names[row.Name], "%s is listed twice", row.Name)
		assert.Assert(t, row.Meaning != "" && row.Action != "" && row.HTTPStatus >= 200, row.Name)
		last = row.Code
		names[row.Name] = true
	}
}

func TestLookupOfAnUnknownCode(t *testing.T) {
	row := pimcode.Lookup(9999)
	assert.Equal(t, row.Name, "unknown")
	assert.Equal(t, row.HTTPStatus, 500)
	assert.Equal(t, pimcode.Lookup(pimcode.OK).HTTPStatus, 200)
}
