// Package pimroutine starts goroutines that stop with a context and report their result on a channel, and contains panics.
package pimroutine

import (
	"context"
	"runtime/debug"
)

// Start runs f in a goroutine. The returned channel receives f's error, or nil, once; the goroutine ends even if nobody
// reads it.
func Start(ctx context.Context, f func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	return done
}

// Recover calls f and returns what it panicked with and the stack, or nils. It is for the boundary at which a message of
// another party is handled, so that a single message can't end the process. It must not be used around changes of the
// replicated state, where a panic shows a broken invariant.
func Recover(f func()) (cause any, stack []byte) {
	defer func() {
		if cause = recover(); cause != nil {
			stack = debug.Stack()
		}
	}()
	f()
	return nil, nil
}
