// Package pimroutine starts goroutines that take a context and report their end on
// a channel that their owner reads.
package pimroutine

import "context"

// Start runs f in a goroutine. Its error, or nil, comes once on the returned channel.
func Start(ctx context.Context, f func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	return done
}
