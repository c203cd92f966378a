package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address. While it is cut it passes nothing, without a reset; connections from
// before or during the cut are reset when it heals.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	healed   *sync.Cond
	cut      bool
	epoch    int
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	p.healed = sync.NewCond(&p.mutex)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// await waits for the end of a cut and returns the number of cuts so far, the present one included.
func (p *proxy) await() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	epoch := p.epoch
	for p.cut {
		p.healed.Wait()
	}
	return epoch
}

func (p *proxy) serve(conn net.Conn) {
	p.mutex.Lock()
	isCut := p.cut
	p.mutex.Unlock()
	epoch := p.await()
	onward, err := net.Dial("tcp4", p.target)
	if err != nil || isCut {
		conn.Close()
		return
	}
	var once sync.Once
	end := func() {
		once.Do(func() {
			conn.Close()
			onward.Close()
		})
	}
	go p.copy(onward, conn, epoch, end)
	p.copy(conn, onward, epoch, end)
}

// copy passes bytes on until the connection ends, or a cut has begun.
func (p *proxy) copy(to, from net.Conn, epoch int, end func()) {
	defer end()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if p.await() != epoch || err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setCut begins or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cut && !p.cut {
		p.epoch++
	}
	p.cut = cut
	p.healed.Broadcast()
}
