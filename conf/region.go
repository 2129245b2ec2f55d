package conf

import (
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/winch"
)

// The values of [Platform] Adapter.
const (
	// AdapterCell selects the project's own simulated platform and is the default.
	AdapterCell = "Cell"
	// AdapterRegion selects the users' platform.
	AdapterRegion = "Region"
)

// RegionListen holds the addresses on which an entry of a region listens.
type RegionListen struct {
	Callers string `conf:"required"`
	// Ready is where the platform asks whether it may send new callers to this entry.
	Ready string `conf:"required"`
	Peers string `conf:"required"`
	// Announce is the address at which other entries reach Peers, if it differs from
	// Peers. It must lead to this VM only, because other entries conclude from a new
	// process at the address that the previous one has ended.
	Announce string
	Metrics  string
	// Jobs is where the program's own HTTP interface for jobs with phases is served.
	Jobs string
}

// RegionPlatform holds the addresses of the platform's services.
type RegionPlatform struct {
	Adapter string `conf:"required"`
	Address string `conf:"required"`
	// Advice is the address of the advice service, or empty if there is none.
	Advice string
}

// RegionLimits holds the resource limits of the VM.
type RegionLimits struct {
	Memory winch.Bytes `conf:"required"`
	// Processors is the number of processors of the VM, which may be a fraction of one.
	Processors float64 `conf:"required"`
}

// minConfigBound is the least value of Timing.Config: entries have to ask for changes several times within it.
const minConfigBound = 500 * time.Millisecond

// RegionTiming holds the times that the platform's operator sets.
type RegionTiming struct {
	// Lease is the maximum duration of a lease that workers grant.
	Lease time.Duration
	// Keep is the retention period of ended jobs.
	Keep time.Duration
	// Grace is the time that the process has between SIGTERM and SIGKILL.
	Grace time.Duration
	// Config is how long after the store has confirmed a configuration an entry may act by an older one.
	Config time.Duration
}

// RegionPlanner holds what an operator may change about the planner's decisions.
type RegionPlanner struct {
	// Without lists the mechanisms that are switched off.
	Without []string
	// Order is the order of waiting work while a service is full.
	Order string
}

// Policy returns the planner's policy. The settings must have been checked.
func (s RegionPlanner) Policy() winch.Policy {
	policy := winch.DefaultPolicy()
	for _, name := range s.Without {
		policy, _ = policy.Without(name) // The names are checked when the settings are decoded.
	}
	if s.Order != "" {
		policy.Order = winch.Order(s.Order)
	}
	return policy
}

func (s RegionPlanner) check(f *File) error {
	for _, name := range s.Without {
		if !slices.Contains(winch.Mechanisms(), name) {
			return f.Errorf("Planner", "Without", "Without = %s: no such mechanism: did you mean %s? The mechanisms are %s",
				name, Nearest(name, winch.Mechanisms()), strings.Join(winch.Mechanisms(), ", "))
		}
	}
	var orders []string
	for _, o := range winch.Orders() {
		orders = append(orders, string(o))
	}
	if s.Order != "" && !slices.Contains(orders, s.Order) {
		return f.Errorf("Planner", "Order", "Order = %s: write one of %s", s.Order, strings.Join(orders, ", "))
	}
	return nil
}

// Region holds all settings of one entry of a region.
type Region struct {
	Entry    Entry
	Listen   RegionListen
	Platform RegionPlatform
	Peers    Peers
	Limits   RegionLimits
	Timing   RegionTiming
	Planner  RegionPlanner
}

// Adapter returns the value of [Platform] Adapter in a settings file, or its default.
func Adapter(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", merry.Errorf("cannot read settings: %v", err)
	}
	return DecodeAdapter(path, text)
}

// DecodeAdapter returns the value of [Platform] Adapter, or its default. Name is used in errors.
func DecodeAdapter(name string, text []byte) (string, error) {
	f, err := Parse(name, text)
	if err != nil {
		return "", err
	}
	known := []string{AdapterCell, AdapterRegion}
	section, err := f.ini.GetSection("Platform")
	if err != nil || !section.HasKey("Adapter") {
		return AdapterCell, nil
	}
	adapter := section.Key("Adapter").String()
	if !slices.Contains(known, adapter) {
		return "", f.Errorf("Platform", "Adapter", "Adapter = %s: write one of %s", adapter, strings.Join(known, ", "))
	}
	return adapter, nil
}

// LoadRegion reads the settings of an entry of a region from a file.
func LoadRegion(path string) (Region, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Region{}, merry.Errorf("cannot read settings: %v", err)
	}
	return DecodeRegion(path, text)
}

// DecodeRegion decodes the settings of an entry of a region. Name is used in errors.
func DecodeRegion(name string, text []byte) (Region, error) {
	s := Region{Timing: RegionTiming{Lease: 6 * time.Second, Keep: 2 * time.Minute, Grace: 6 * time.Second, Config: 2 * time.Second}}
	f, err := Parse(name, text)
	if err != nil {
		return s, err
	}
	err = f.decode([]target{
		{"Entry", &s.Entry},
		{"Listen", &s.Listen},
		{"Platform", &s.Platform},
		{"Peers", &s.Peers},
		{"Limits", &s.Limits},
		{"Timing", &s.Timing},
		{"Planner", &s.Planner},
	})
	if err != nil {
		return s, err
	}
	return s, s.check(f)
}

func (s *Region) check(f *File) error {
	addresses := []addressSetting{
		{"Listen", "Callers", s.Listen.Callers},
		{"Listen", "Ready", s.Listen.Ready},
		{"Listen", "Peers", s.Listen.Peers},
		{"Platform", "Address", s.Platform.Address},
	}
	if s.Listen.Announce != "" {
		addresses = append(addresses, addressSetting{"Listen", "Announce", s.Listen.Announce})
	}
	if s.Listen.Metrics != "" {
		addresses = append(addresses, addressSetting{"Listen", "Metrics", s.Listen.Metrics})
	}
	if s.Listen.Jobs != "" {
		addresses = append(addresses, addressSetting{"Listen", "Jobs", s.Listen.Jobs})
	}
	if s.Platform.Advice != "" {
		addresses = append(addresses, addressSetting{"Platform", "Advice", s.Platform.Advice})
	}
	if err := f.checkAddresses(addresses); err != nil {
		return err
	}
	if s.Limits.Processors <= 0 {
		return f.Errorf("Limits", "Processors", "Processors = %g: write the VM's number of processors, such as 0.4", s.Limits.Processors)
	}
	if s.Limits.Memory < 32<<20 {
		return f.Errorf("Limits", "Memory", "Memory = %s: an entry needs at least 32MB", FormatBytes(s.Limits.Memory))
	}
	if s.Timing.Lease < time.Second || s.Timing.Grace < time.Second {
		return f.Errorf("Timing", "", "Lease and Grace: write at least one second")
	}
	if s.Timing.Config < minConfigBound {
		return f.Errorf("Timing", "Config", "Config = %v: write at least %v", s.Timing.Config, minConfigBound)
	}
	return s.Planner.check(f)
}

// addressSetting is a key that must hold an IP address and a port.
type addressSetting struct{ section, key, value string }

func (f *File) checkAddresses(list []addressSetting) error {
	for _, a := range list {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return f.Errorf(a.section, a.key, "%s = %s: write an IP address and a port, such as 127.0.0.1:7001", a.key, a.value)
		}
	}
	return nil
}

// target is a section and a pointer to the struct that it is decoded into.
type target struct {
	section string
	into    any
}

// decode decodes all sections and rejects unknown ones.
func (f *File) decode(targets []target) error {
	var names []string
	for _, t := range targets {
		names = append(names, t.section)
	}
	for _, section := range f.Sections() {
		if !slices.Contains(names, section) {
			return f.Errorf(section, "", "unknown section [%s]: did you mean [%s]? The valid sections are %s",
				section, Nearest(section, names), strings.Join(names, ", "))
		}
	}
	for _, t := range targets {
		if err := f.Section(t.section, t.into); err != nil {
			return err
		}
	}
	return nil
}
