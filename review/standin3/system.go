package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// system runs control daemons and an entry daemon as processes, each at a loopback address of its own, with the settings
	// of a small deployment. It also stands in for the operator and the clients.
	system struct {
		record  *record
		folder  string
		network string
		// ports are those of the listeners control, front and ready, and the peer port, at each address.
		ports    [4]int
		controls []*process
		entry    *process
		// tolerated is fault-tolerance.machines.
		tolerated int
		services  []map[string]any
		executors []*executor
		gangs     gangs
	}

	// process is a daemon, which may be started again.
	process struct {
		name, role, ip, zone string
		folder               string
		mutex                sync.Mutex
		command              *exec.Cmd
		exited               chan struct{}
		starts               int
	}
)

const (
	host   = "jobs.example"
	prefix = "/jobs/"
)

var zones = []string{"east-a", "east-b", "east-c", "east-d"}

// newSystem starts the processes. It fails if they don't become ready, or a port is taken.
func newSystem(r *record, folder string, controls, tolerated int) (*system, error) {
	s := &system{
		record: r, folder: folder, network: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)), tolerated: tolerated,
		gangs: gangs{known: map[string]*gang{}},
		services: []map[string]any{{
			"name": "work", "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0,
			"cold-per-s": 0.0, "rejects-overload": true, "standby": false,
		}},
	}
	for i := range s.ports {
		listener, err := net.Listen("tcp4", s.network+"1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		s.ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	for i := range controls {
		s.controls = append(s.controls, &process{
			name: fmt.Sprintf("core-%d", i+1), role: "control", ip: s.network + fmt.Sprint(11+i), zone: zones[i%len(zones)], folder: folder,
		})
	}
	s.entry = &process{name: "front-1", role: "entry", ip: s.network + "51", zone: zones[0], folder: folder}
	for _, p := range append([]*process{s.entry}, s.controls...) {
		if err := s.start(p, true); err != nil {
			return s, err
		}
	}
	return s, s.await(20*time.Second, "the entry daemon is ready", func() bool {
		status, _ := request(http.MethodGet, s.url(s.entry, 2)+"/pimentoswitch/ready", "", nil, time.Second)
		return status == http.StatusOK
	})
}

func (s *system) url(p *process, port int) string {
	return fmt.Sprintf("http://%s:%d", p.ip, s.ports[port])
}

func (s *system) controlAddress(p *process) string { return fmt.Sprintf("%s:%d", p.ip, s.ports[0]) }

// start starts a process with the settings file of the pages.
func (s *system) start(p *process, bootstrap bool) error {
	var seeds []string
	for _, control := range s.controls[:min(3, len(s.controls))] {
		seeds = append(seeds, s.controlAddress(control))
	}
	home := filepath.Join(s.folder, p.name)
	data := filepath.Join(home, "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	settings := map[string]any{
		"node-name": p.name, "role": p.role, "machine-class": p.role, "serves": []string{p.role}, "ip": p.ip, "zone": p.zone,
		"region": "east", "zones": map[string]string{"east-a": "east", "east-b": "east", "east-c": "east", "east-d": "east"},
		"listen": map[string]string{
			"control": s.controlAddress(p), "front": fmt.Sprintf("%s:%d", p.ip, s.ports[1]), "ready": fmt.Sprintf("%s:%d", p.ip, s.ports[2]),
		},
		"port-range": []int{s.ports[3], s.ports[3]}, "seeds": seeds, "bootstrap": bootstrap, "counts-as-loss": p.role == "control",
		"limits":       map[string]any{"cpu-share": 0.8, "cores": 1, "memory-mb": 280, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 128},
		"data-dir":     data,
		"heartbeat-ms": heartbeatInterval.Milliseconds(), "config_mode": "highest", "control-mode": "push",
		"fault-tolerance": map[string]int{"machines": s.tolerated, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "hold-max-ms": maxLeaseMS,
			"stop-timeout-ms": 200, "gang-timeout-ms": 3000, "cancel_ms": 3000, "remote-factor": 2, "fencing-required": true,
		},
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(home, "node.json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(home, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/pimentoswitch", p.role)
	command.Env = []string{"PIMENTOSWITCH_BOOT=" + path, "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		output.Close()
		return err
	}
	exited := make(chan struct{})
	p.mutex.Lock()
	p.command, p.exited = command, exited
	p.starts++
	p.mutex.Unlock()
	go func() {
		_ = command.Wait()
		output.Close()
		close(exited)
	}()
	s.record.line("%s (%s) starts at %s", p.name, p.role, p.ip)
	return nil
}

// signal sends a signal to a process that this program started.
func (s *system) signal(p *process, signal syscall.Signal) {
	p.mutex.Lock()
	command := p.command
	p.mutex.Unlock()
	s.record.line("%s gets %v", p.name, signal)
	if command != nil {
		_ = command.Process.Signal(signal)
	}
}

// kill kills a process and waits for its end.
func (s *system) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.exited
}

// wipe removes the data folder of a process that has ended.
func (s *system) wipe(p *process) error {
	s.record.line("%s loses its disk", p.name)
	return os.RemoveAll(filepath.Join(s.folder, p.name, "data"))
}

// stop ends everything that was started.
func (s *system) stop() {
	for _, e := range s.executors {
		e.mutex.Lock()
		e.up = false
		server := e.server
		e.mutex.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	for _, p := range append([]*process{s.entry}, s.controls...) {
		if p != nil && p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
}

// stopOnSignal ends everything when this program is told to end, or has taken too long.
func (s *system) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	s.record.line("not played: told to end, or too long")
	s.stop()
	os.Exit(2)
}

// maxDuration is the longest time that a script may take.
const maxDuration = 115 * time.Second

var errNotInTime = errors.New("not in time")

// await waits until a condition holds.
func (s *system) await(limit time.Duration, what string, holds func() bool) error {
	until := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(until) {
			return fmt.Errorf("%w: %s", errNotInTime, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.record.line("%s", what)
	return nil
}

// leader returns the control daemon that was the last to log that its leadership is confirmed, by the term in that line.
func (s *system) leader() *process {
	var leader *process
	newest := 0
	for _, p := range s.controls {
		data, err := os.ReadFile(filepath.Join(s.folder, p.name, "log"))
		if err != nil {
			continue
		}
		for _, text := range strings.Split(string(data), "\n") {
			var entry struct {
				Message string `json:"message"`
				Term    int    `json:"term"`
			}
			if json.Unmarshal([]byte(text), &entry) == nil && strings.Contains(entry.Message, "leadership of the job group is confirmed") &&
				entry.Term > newest {
				newest, leader = entry.Term, p
			}
		}
	}
	return leader
}

// logHas reports whether the log of a process has a text.
func (s *system) logHas(p *process, text string) bool {
	data, err := os.ReadFile(filepath.Join(s.folder, p.name, "log"))
	return err == nil && bytes.Contains(data, []byte(text))
}

// others returns the control daemons but one.
func (s *system) others(p *process) []*process {
	var others []*process
	for _, other := range s.controls {
		if other != p {
			others = append(others, other)
		}
	}
	return others
}

// addExecutors starts executors of the given kinds, with capacity for cpu thousandths of a core.
func (s *system) addExecutors(cpu int64, kinds ...string) error {
	var controls []string
	for _, p := range s.controls {
		controls = append(controls, s.controlAddress(p))
	}
	for _, kind := range kinds {
		i := len(s.executors)
		e := &executor{
			record: s.record, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: s.network + fmt.Sprint(100+i) + ":0", zone: zones[i%3],
			labels: []string{kind, fmt.Sprintf("r1-%d", i/8)}, controls: controls, cpu: cpu, gangs: &s.gangs,
		}
		if err := e.start(); err != nil {
			return err
		}
		s.executors = append(s.executors, e)
		s.record.line("executor %s starts in %s", e, e.zone)
	}
	return nil
}

func (s *system) executor(id string) *executor {
	for _, e := range s.executors {
		if e.id == id {
			return e
		}
	}
	return nil
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(version int) error {
	body, err := json.Marshal(s.configuration(version))
	if err != nil {
		return err
	}
	return s.await(15*time.Second, fmt.Sprintf("configuration %d is acknowledged", version), func() bool {
		for _, p := range s.controls {
			if status, _ := request(http.MethodPut, s.url(p, 0)+"/pimentoswitch/config", "", body, time.Second); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

func (s *system) configuration(version int) map[string]any {
	return map[string]any{
		"version": version, "services": s.services,
		"routes": []map[string]any{{
			"name": "r-work", "host": host, "path-prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "objective-ms": 250, "priority": 0,
			"service": "work", "attempts": 3, "stretch": 1.5,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// submit hands in a job until it is accepted, and returns its ID.
func (s *system) submit(spec string, steps ...map[string]any) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return id, err
	}
	return id, s.await(15*time.Second, "job "+id+" ("+spec+") is accepted", func() bool {
		status, answer := request(http.MethodPost, s.url(s.entry, 1)+prefix+id, host, body, 3*time.Second)
		if status/100 != 2 {
			s.record.line("POST of job %s gets %d %s", id, status, answer)
		}
		return status/100 == 2
	})
}

// state returns the status and the state that a GET of a job gives.
func (s *system) state(id string) (int, string) {
	status, body := request(http.MethodGet, s.url(s.entry, 1)+prefix+id, host, nil, 3*time.Second)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer)
	return status, answer.State
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request makes an HTTP request. It returns status 0 without a response.
func request(method, url, hostHeader string, body []byte, timeout time.Duration) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, []byte(err.Error())
	}
	if hostHeader != "" {
		r.Host = hostHeader
		r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	r.Header.Set("Content-Type", "application/json")
	bounded := *client
	bounded.Timeout = timeout
	response, err := bounded.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, data
}
