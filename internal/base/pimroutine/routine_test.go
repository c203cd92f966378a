package pimroutine_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
)

func TestRecover(t *testing.T) {
	cause, stack := pimroutine.Recover(func() { panic("broken message") })
	assert.Equal(t, cause, "broken message")
	assert.Assert(t, bytes.Contains(stack, []byte("TestRecover")))
	cause, _ = pimroutine.Recover(func() {})
	assert.Assert(t, cause == nil)
}
