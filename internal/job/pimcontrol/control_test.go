package pimcontrol_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimmetric"
	"github.com/pimentoswitch/pimentoswitch/internal/base/pimroutine"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimcontrol"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimfleet"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimforward"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimjob"
	"github.com/pimentoswitch/pimentoswitch/internal/job/pimrpc"
	"github.com/pimentoswitch/pimentoswitch/internal/member/pimmessage"
	"github.com/pimentoswitch/pimentoswitch/internal/state/pimlog"
)

type (
	// group is three control daemons in one process, joined by a network that can be cut.
	group struct {
		t       *testing.T
		mutex   sync.Mutex
		members map[string]*member
		order   []string
	}

	member struct {
		address     string
		control     *pimcontrol.Control
		forwarder   *pimforward.Forwarder
		diskFull    atomic.Bool
		partitioned atomic.Bool
	}

	// link sends on behalf of one member.
	link struct {
		group *group
		from  string
	}

	// fullFile refuses writes while its member's disk is full.
	fullFile struct {
		pimlog.File
		member *member
	}

	unreachableWorkers struct{}
)

const testTimeout = time.Minute

var errDiskFull = errors.New("no space left on device")

// Call answers for workers that can't be reached.
func (unreachableWorkers) Call(_ context.Context, call pimfleet.Call) pimfleet.Result {
	return pimfleet.Result{Call: call}
}

// Write fails while the disk is full.
func (f fullFile) Write(data []byte) (int, error) {
	if f.member.diskFull.Load() {
		return 0, errDiskFull
	}
	return f.File.Write(data)
}

// Send hands a message to the member at an address unless one of the two is cut off.
func (l link) Send(address, to string, message pimmessage.PeerMessage) {
	l.group.mutex.Lock()
	from, target := l.group.members[l.from], l.group.members[address]
	l.group.mutex.Unlock()
	if target == nil || from.partitioned.Load() || target.partitioned.Load() {
		return
	}
	target.control.Receive(from.control.ID(), to, message)
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, members: map[string]*member{}, order: []string{"a:1", "b:1", "c:1"}}
	ctx, cancel := context.WithCancel(context.Background())
	var ends []<-chan error
	for _, address := range g.order {
		m := &member{address: address}
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		settings := pimcontrol.Settings{
			Address: address, DataDir: t.TempDir(), Bootstrap: true, InitialMembers: g.order, ToleratedFailures: 1,
			Fleet: pimfleet.Policy{Lease: time.Second, Wait: time.Second},
			OpenFile: func(path string) (pimlog.File, error) {
				file, err := pimlog.OpenSegment(path)
				return fullFile{file, m}, err
			},
		}
		control, err := pimcontrol.New(settings, unreachableWorkers{}, pimmetric.NewMetrics(), logger)
		assert.NilError(t, err)
		m.control = control
		m.forwarder = pimforward.NewForwarder(control.ID(), g.order, control, logger)
		control.SetTransport(link{g, address}, m.forwarder)
		g.members[address] = m
	}
	for _, address := range g.order {
		ends = append(ends, pimroutine.Start(ctx, g.members[address].control.Run), pimroutine.Start(ctx, g.members[address].forwarder.Run))
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range ends {
			assert.NilError(t, <-end)
		}
	})
	return g
}

func (m *member) call(ask pimrpc.Request, deadline time.Duration) (pimrpc.Response, error) {
	return m.forwarder.Call(context.Background(), ask, pimforward.CallTimeouts{LeaderWait: deadline, Total: deadline})
}

// putConfig stores a configuration at some member, however often that takes.
func (g *group) putConfig(at string, version int64) {
	g.t.Helper()
	config := pimjob.Config{Version: version, Text: fmt.Appendf(nil, "version %d", version)}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		answer, err := g.members[at].call(pimrpc.PutConfig{Config: config}, time.Second)
		if _, done := answer.(pimrpc.Done); err == nil && done {
			return
		}
	}
	g.t.Fatalf("version %d was not stored", version)
}

func (g *group) assertConfig(at string, version int64) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		answer, err := g.members[at].call(pimrpc.GetConfig{}, time.Second)
		if text, ok := answer.(pimrpc.ConfigText); err == nil && ok {
			assert.Equal(g.t, string(text.Text), fmt.Sprintf("version %d", version))
			return
		}
	}
	g.t.Fatalf("no answer at %s", at)
}

// leader returns the address of the member that others ask.
func (g *group) leader() string {
	g.t.Helper()
	g.putConfig("a:1", 1)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, address := range g.order {
			if g.members[address].control.IsLeader() {
				return address
			}
		}
	}
	g.t.Fatal("nobody leads")
	return ""
}

func (g *group) others(of string) []string {
	var others []string
	for _, address := range g.order {
		if address != of {
			others = append(others, address)
		}
	}
	return others
}

func TestControl(t *testing.T) {
	t.Run("a leader that is cut off answers no read and accepts nothing", func(t *testing.T) {
		g := newGroup(t)
		leader := g.leader()
		old := g.members[leader]
		old.partitioned.Store(true)
		answer, err := old.call(pimrpc.GetConfig{}, 400*time.Millisecond)
		assert.Assert(t, err != nil, "%v", answer)
		config := pimjob.Config{Version: 9, Text: []byte("version 9")}
		_, err = old.call(pimrpc.PutConfig{Config: config}, 400*time.Millisecond)
		assert.Assert(t, err != nil)
		g.putConfig(g.others(leader)[0], 10)
		old.partitioned.Store(false)
		g.assertConfig(leader, 10)
	})
	t.Run("a daemon whose disk is full comes back when it is not", func(t *testing.T) {
		g := newGroup(t)
		leader := g.leader()
		g.members[leader].diskFull.Store(true)
		others := g.others(leader)
		g.putConfig(others[0], 2)
		g.members[leader].diskFull.Store(false)
		// Without the one that came back there is no majority left.
		time.Sleep(time.Second)
		g.members[others[0]].partitioned.Store(true)
		g.putConfig(others[1], 3)
		g.assertConfig(leader, 3)
	})
}
