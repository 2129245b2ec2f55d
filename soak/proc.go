package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// proc runs one entry as a separate process that can be stopped and started again.
type proc struct {
	name, domain   string
	program        string
	dir            string
	callersAddress string
	storeRelay     *relay // storeRelay is between the entry and the store, peerRelay between its peers and it.
	peerRelay      *relay
	settingsFile   string

	// lifecycle is held while the process is started or stopped. A second process that
	// is started meanwhile would find the addresses in use.
	lifecycle sync.Mutex
	mu        sync.Mutex
	cmd       *exec.Cmd
	// stopping is when the process was told to stop as planned; zero if it was not. disturbed is when it was last
	// killed, paused or resumed.
	stopping, disturbed time.Time
	paused              bool
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// writeSettings chooses the entry's addresses and writes its settings file.
func (p *proc) writeSettings(advice string, order winch.Order) error {
	var addresses [3]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = a
	}
	p.callersAddress, p.peerRelay.target = addresses[0], addresses[2]
	p.settingsFile = filepath.Join(p.dir, p.name+".ini")
	text := fmt.Sprintf(`[Entry]
Name = %s
Domain = %s
[Listen]
Callers = %s
Ready = %s
Peers = %s
Announce = %s
[Platform]
Adapter = Region
Address = %s
Advice = %s
[Peers]
Token = soak
[Limits]
Memory = 256MB
Processors = 0.4
[Timing]
Lease = 6s
Keep = 5m
Grace = 5s
[Planner]
Order = %s
`, p.name, p.domain, addresses[0], addresses[1], addresses[2], p.peerRelay.address(), p.storeRelay.address(), advice, order)
	return merry.Wrap(os.WriteFile(p.settingsFile, []byte(text), 0o600))
}

// start starts the process unless it is running. Its log is appended to that of earlier
// processes of the entry.
func (p *proc) start() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if p.currentCmd() != nil {
		return nil // Another fault has already restarted it.
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "serve", "-c", p.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return merry.Wrap(err)
	}
	p.setCmd(cmd)
	return nil
}

func (p *proc) currentCmd() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

func (p *proc) setCmd(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.paused = cmd, false
	if cmd != nil {
		p.stopping = time.Time{}
	}
}

// signal sends signals to the process, if there is one, and returns its command.
func (p *proc) signal(signals ...syscall.Signal) *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range signals {
		if p.cmd != nil {
			p.noteSignal(s)
			_ = p.cmd.Process.Signal(s) // The process may have exited.
		}
	}
	return p.cmd
}

// stop stops the process with a signal and waits until it has exited. A kill takes effect at
// once, even while a planned stop is in progress.
func (p *proc) stop(s syscall.Signal) {
	signalled := p.signal(s, syscall.SIGCONT) // A paused process must be resumed to handle a signal.
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd := p.currentCmd()
	if cmd == nil {
		return
	}
	if cmd != signalled {
		p.signal(s, syscall.SIGCONT)
	}
	_ = cmd.Wait()
	p.setCmd(nil)
}
