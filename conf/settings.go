package conf

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// Entry holds the name of this entry and of its failure domain.
type Entry struct {
	Name   string `conf:"required"`
	Domain string `conf:"required"`
}

// Cell holds the settings that all entries of a cell share.
type Cell struct {
	Name string `conf:"required"`
	// OperatorKeyHash is the SHA-256 hash of the first operator's key, in hexadecimal.
	OperatorKeyHash string `conf:"required"`
	// Prefer is the placement preference, Packing or Waiting.
	Prefer string
	// FenceAtVM states that the workers refuse commands of older epochs.
	FenceAtVM bool
	// Partitions is the number of partitions of each ledger. It must be the same
	// in all entries and is fixed for the cell's life.
	Partitions int
}

// Listen holds the addresses on which the entry listens.
type Listen struct {
	Callers   string `conf:"required"`
	Operators string `conf:"required"`
	Peers     string `conf:"required"`
}

// Platform holds the address of the platform's service.
type Platform struct {
	// Adapter is always AdapterCell in these settings.
	Adapter string
	Address string `conf:"required"`
}

// Peers holds the addresses of the other entries and the token shared with them.
type Peers struct {
	Token     string `conf:"required"`
	Addresses []string
}

// Limits holds the limits of an entry's queues, connections and buffers.
type Limits struct {
	// QueueLength limits the waiting calls of one class and service.
	QueueLength int
	// Connections limits this entry's connections to one executor.
	Connections int
	// ReplayBody is the maximum size of a request body that is buffered for a retry.
	ReplayBody winch.Bytes
	// HoldAnswer is the maximum size of a response that is buffered completely before
	// it is forwarded; a larger one is streamed.
	HoldAnswer winch.Bytes
}

// Timing holds the intervals and timeouts of an entry.
type Timing struct {
	Heartbeat time.Duration
	// Office and Tasks are the durations of the leases on the office (the planner's
	// leadership lease in the store) and on tasks.
	Office time.Duration
	Tasks  time.Duration
	// Drain limits the duration of a planned stop. Ready is how long the entry accepts
	// calls after the stop begins, until the load balancer has noticed it.
	Drain time.Duration
	Ready time.Duration
	// UnitTerm is how long an entry may use its units of the teams' limits while it cannot reach the store.
	UnitTerm time.Duration
}

// Settings holds all settings of one entry of a cell.
type Settings struct {
	Entry    Entry
	Cell     Cell
	Listen   Listen
	Platform Platform
	Peers    Peers
	Limits   Limits
	Timing   Timing
}

// Default returns settings with every optional key set to its default.
func Default() Settings {
	return Settings{
		Cell:   Cell{Prefer: "Packing", FenceAtVM: true, Partitions: 256},
		Limits: Limits{QueueLength: 1000, Connections: 10, ReplayBody: 256 << 10, HoldAnswer: 64 << 10},
		Timing: Timing{
			Heartbeat: time.Second, Office: 3 * time.Second, Tasks: 15 * time.Second,
			Drain: 30 * time.Second, Ready: time.Second, UnitTerm: 10 * time.Minute,
		},
	}
}

// Load reads the settings of an entry of a cell from a file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Errorf("cannot read settings: %v", err)
	}
	return Decode(path, text)
}

// Decode decodes the settings of an entry of a cell. Name is used in errors.
func Decode(name string, text []byte) (Settings, error) {
	s := Default()
	f, err := Parse(name, text)
	if err != nil {
		return s, err
	}
	err = f.decode([]target{
		{"Entry", &s.Entry},
		{"Cell", &s.Cell},
		{"Listen", &s.Listen},
		{"Platform", &s.Platform},
		{"Peers", &s.Peers},
		{"Limits", &s.Limits},
		{"Timing", &s.Timing},
	})
	if err != nil {
		return s, err
	}
	return s, s.check(f)
}

func (s *Settings) check(f *File) error {
	if !slices.Contains([]string{"Packing", "Waiting"}, s.Cell.Prefer) {
		return f.Errorf("Cell", "Prefer", "Prefer = %s: write Packing or Waiting", s.Cell.Prefer)
	}
	if s.Cell.Partitions < 1 || s.Cell.Partitions > 4096 {
		return f.Errorf("Cell", "Partitions", "Partitions = %d: write a number from 1 to 4096", s.Cell.Partitions)
	}
	if len(s.Cell.OperatorKeyHash) != 64 {
		return f.Errorf("Cell", "OperatorKeyHash", "OperatorKeyHash is not a SHA-256 hash: write the 64 hexadecimal digits that `plantainwinch key hash` prints")
	}
	err := f.checkAddresses([]addressSetting{
		{"Listen", "Callers", s.Listen.Callers},
		{"Listen", "Operators", s.Listen.Operators},
		{"Listen", "Peers", s.Listen.Peers},
		{"Platform", "Address", s.Platform.Address},
	})
	if err != nil {
		return err
	}
	for _, a := range s.Peers.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return f.Errorf("Peers", "Addresses", "%s: write IP addresses with ports, separated by commas", a)
		}
	}
	return s.checkTiming(f)
}

func (s *Settings) checkTiming(f *File) error {
	t := s.Timing
	if t.Heartbeat < 100*time.Millisecond || t.Office < 3*t.Heartbeat/2 || t.Tasks < t.Office {
		return f.Errorf("Timing", "", "times are inconsistent: Heartbeat must be at least 100ms, Office at least one and a half times Heartbeat, Tasks at least Office")
	}
	return nil
}
