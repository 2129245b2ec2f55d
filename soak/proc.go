package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// proc is one entry as a process of its own, which may be ended and started again.
type proc struct {
	name, domain string
	program      string
	dir          string
	callers      string
	relay        *relay // relay is the way to the store, and peers that of the others to it.
	peers        *relay
	file         string

	// life is held while the process is started or ends, so that no other is
	// started meanwhile, which would find the addresses in use.
	life sync.Mutex
	mu   sync.Mutex
	cmd  *exec.Cmd
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// settings writes the entry's settings file.
func (p *proc) settings(advice string) error {
	var at [3]string
	for i := range at {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		at[i] = a
	}
	p.callers, p.peers.target = at[0], at[2]
	p.file = filepath.Join(p.dir, p.name+".ini")
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
`, p.name, p.domain, at[0], at[1], at[2], p.peers.address(), p.relay.address(), advice)
	return merry.Wrap(os.WriteFile(p.file, []byte(text), 0o600))
}

// start starts the process; its log is appended to what earlier ones wrote.
func (p *proc) start() error {
	p.life.Lock()
	defer p.life.Unlock()
	if p.running() != nil {
		return nil // Another fault has started it again.
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "serve", "-c", p.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return merry.Wrap(err)
	}
	p.set(cmd)
	return nil
}

func (p *proc) running() *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd
}

func (p *proc) set(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
}

// signal sends signals to the process, by its id, and returns it.
func (p *proc) signal(signals ...syscall.Signal) *exec.Cmd {
	cmd := p.running()
	for _, s := range signals {
		if cmd != nil {
			_ = cmd.Process.Signal(s) // It may have ended.
		}
	}
	return cmd
}

// end ends the process with a signal and waits until it is gone. A kill does not
// wait for a planned stop that is under way.
func (p *proc) end(s syscall.Signal) {
	told := p.signal(s, syscall.SIGCONT) // A frozen process takes no other signal.
	p.life.Lock()
	defer p.life.Unlock()
	cmd := p.running()
	if cmd == nil {
		return
	}
	if cmd != told {
		p.signal(s, syscall.SIGCONT)
	}
	_ = cmd.Wait()
	p.set(nil)
}
