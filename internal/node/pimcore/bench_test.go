package pimcore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/node/pimcore"
)

// BenchmarkRequest measures the work of six nodes for one request: journal, slot, endpoint and
// answer. It includes the work of the fakes and 100 microseconds of ticks and other events.
func BenchmarkRequest(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("idempotent=%t", idempotent), func(b *testing.B) {
			sim := newSimulation(b, 1)
			sim.addEndpoints("callout", 20, 8, time.Millisecond)
			sim.run(3 * time.Second)
			messages, bytes := 0, 0
			sim.onCommand = func(_ *host, command pimcore.Command) {
				if send, ok := command.(pimcore.SendPeer); ok {
					if body, err := pimmessage.Encode(send.Message); err == nil {
						messages++
						bytes += len(body)
					}
				}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				sim.request(&callerRequest{
					id: fmt.Sprint("north.", n), service: "callout", idempotent: idempotent, deadline: sim.now + time.Second,
				})
				sim.run(100 * time.Microsecond)
			}
			b.ReportMetric(float64(messages)/float64(n), "messages/op")
			b.ReportMetric(float64(bytes)/float64(n), "wire-bytes/op")
		})
	}
}

// BenchmarkIdleSecond measures one second of six idle nodes.
func BenchmarkIdleSecond(b *testing.B) {
	sim := newSimulation(b, 1)
	bytes := 0
	sim.onCommand = func(_ *host, command pimcore.Command) {
		if send, ok := command.(pimcore.SendPeer); ok {
			if body, err := pimmessage.Encode(send.Message); err == nil {
				bytes += len(body)
			}
		}
	}
	n := 0
	for b.Loop() {
		n++
		sim.run(time.Second)
	}
	b.ReportMetric(float64(bytes)/float64(n)/6, "wire-bytes/daemon")
}
