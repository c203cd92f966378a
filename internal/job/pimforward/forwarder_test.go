package pimforward_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
)

// silentGroup counts the requests that it receives and responds to none.
type silentGroup struct{ requests atomic.Int64 }

// Send counts a request.
func (g *silentGroup) Send(_, _ string, message pimmessage.PeerMessage) {
	if _, ok := message.(pimmessage.CallRequest); ok {
		g.requests.Add(1)
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	group := &silentGroup{}
	forwarder := pimforward.NewForwarder("f:1#x", []string{"a:1"}, group, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	forwarder.OnLeaderReply(pimmessage.LeaderReply{Leader: "a:1#first", Term: 1, ConfirmedLeader: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := forwarder.Call(ctx, pimrpc.GetConfig{}, pimforward.CallTimeouts{LeaderWait: time.Minute, Total: time.Minute})
	assert.Equal(t, pimcode.Of(err), pimcode.OutcomeUnknown)
	assert.Equal(t, group.requests.Load(), int64(1))
}
