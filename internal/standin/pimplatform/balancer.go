// Package pimplatform simulates the platform's load balancer: it distributes calls round-robin over the entry
// daemons that report that they are ready. A call that fails is not repeated on another daemon.
package pimplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
)

type (
	// Balancer distributes calls over the entry daemons at the given HTTP addresses.
	Balancer struct {
		client    *http.Client
		mutex     sync.Mutex
		addresses []string
		ready     map[string]bool
		next      int
	}

	// StatusError is returned for a response whose HTTP status is not 200.
	StatusError struct {
		Status int
		Body   []byte
	}
)

const (
	probeInterval       = 200 * time.Millisecond
	probeTimeout        = 400 * time.Millisecond
	maxIdleConnsPerHost = 256
	// DefaultTimeout bounds every call, also one whose context has no deadline.
	DefaultTimeout = 30 * time.Second
)

// Error is the class of failures to reach an entry daemon or to decode its response.
var Error = errs.Class("balancer")

// NewBalancer returns a balancer over the given addresses. All of them count as ready until Run has probed
// them.
func NewBalancer(addresses []string) *Balancer {
	b := &Balancer{
		client: &http.Client{
			Timeout:   DefaultTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true},
		},
		addresses: addresses,
		ready:     map[string]bool{},
	}
	for _, address := range addresses {
		b.ready[address] = true
	}
	return b
}

// Error returns the status and the body of the response.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Run probes the readiness of every daemon periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return nil
		case <-ticker.C:
			b.probe(ctx)
		}
	}
}

func (b *Balancer) probe(ctx context.Context) {
	var probes []<-chan error
	for _, address := range b.addresses {
		probes = append(probes, pimroutine.Start(ctx, func(ctx context.Context) error {
			ok := b.isReady(ctx, address)
			b.mutex.Lock()
			b.ready[address] = ok
			b.mutex.Unlock()
			return nil
		}))
	}
	for _, probe := range probes {
		<-probe
	}
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.call(ctx, http.MethodGet, address, "/readyz", nil)
	return err == nil
}

// Candidates returns all addresses, ready ones first. The order rotates by one at each call.
func (b *Balancer) Candidates() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.next++
	var ready, notReady []string
	for i := range b.addresses {
		address := b.addresses[(b.next+i)%len(b.addresses)]
		if b.ready[address] {
			ready = append(ready, address)
		} else {
			notReady = append(notReady, address)
		}
	}
	return append(ready, notReady...)
}

// AllReady reports whether every daemon was ready at its last probe. A daemon that has not been probed yet
// counts as ready.
func (b *Balancer) AllReady() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, address := range b.addresses {
		if !b.ready[address] {
			return false
		}
	}
	return true
}

// Do sends body as JSON to one entry daemon and decodes the JSON response into target. It returns a *StatusError
// if the status is not 200, and an error of the class Error for any other failure.
func (b *Balancer) Do(ctx context.Context, method, path string, body, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	responseBody, err := b.call(ctx, method, b.Candidates()[0], path, data)
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(responseBody, target))
}

// Put sends raw bytes to one entry daemon with the PUT method and decodes the JSON response into target. Its
// errors are those of Do.
func (b *Balancer) Put(ctx context.Context, path string, data []byte, target any) error {
	responseBody, err := b.call(ctx, http.MethodPut, b.Candidates()[0], path, data)
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(responseBody, target))
}

func (b *Balancer) call(ctx context.Context, method, address, path string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Body: buffer.Bytes()}
	}
	return buffer.Bytes(), nil
}

// Get returns the response body for a path from one entry daemon. Its errors are those of Do.
func (b *Balancer) Get(ctx context.Context, path string) ([]byte, error) {
	return b.call(ctx, http.MethodGet, b.Candidates()[0], path, nil)
}

// GetFrom returns the response body for a path from the daemon or endpoint at the given address. Its errors are
// those of Do.
func (b *Balancer) GetFrom(ctx context.Context, address, path string) ([]byte, error) {
	return b.call(ctx, http.MethodGet, address, path, nil)
}
