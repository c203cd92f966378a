// Package pimroutine starts goroutines that stop with a context and report their result on a channel.
package pimroutine

import "context"

// Start runs f in a goroutine. The returned channel receives f's error, or nil, once; the goroutine ends even if nobody
// reads it.
func Start(ctx context.Context, f func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	return done
}
