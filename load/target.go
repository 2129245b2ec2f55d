// Package load generates a limited load on a cell, measures the responses as callers receive them, and
// counts violations of the cell's guarantees. It compares the responses with the runs that the stand-ins
// of executors and workers count.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"plantainwinch/cell"
	"plantainwinch/stand"
	"plantainwinch/trans/store"
	"plantainwinch/winch"
)

// Target is the cell under load: the addresses of its entries and platform, and the keys to use.
type Target struct {
	Callers   []string
	Operators []string
	Platform  string
	// Operator is an operator's key, Teams the keys of the teams in order.
	Operator string
	Teams    []string
	HTTP     *http.Client
}

// maxIdleConns bounds the idle connections kept open to one entry.
const maxIdleConns = 512

// newClient returns a client that keeps its connections open for reuse.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: 0, DisableCompression: true}}
}

// NewTarget returns the target for a running cell.
func NewTarget(c *cell.Cell, keys cell.Keys) *Target {
	t := &Target{Platform: c.PlatformAddress, Operator: c.OperatorKey, HTTP: newClient()}
	for _, s := range c.Servers {
		t.Callers = append(t.Callers, s.CallersAddress())
		t.Operators = append(t.Operators, s.OperatorsAddress())
	}
	for i := range len(keys.Teams) {
		t.Teams = append(t.Teams, keys.Teams[cell.TeamName(i)])
	}
	return t
}

// ReadTarget reads the file that the dev command writes with --out.
func ReadTarget(path string) (*Target, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Errorf("--cell: %v: write it with plantainwinch dev --out %s", err, path)
	}
	defer f.Close()
	t := &Target{HTTP: newClient()}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), "=")
		switch {
		case strings.HasPrefix(name, "CALLERS_"):
			t.Callers = append(t.Callers, value)
		case strings.HasPrefix(name, "OPERATORS_"):
			t.Operators = append(t.Operators, value)
		case strings.HasPrefix(name, "TEAM_KEY_"):
			t.Teams = append(t.Teams, value)
		case name == "OPERATOR_KEY":
			t.Operator = value
		case name == "PLATFORM":
			t.Platform = value
		}
	}
	if len(t.Callers) == 0 || len(t.Teams) == 0 {
		return nil, merry.Errorf("--cell %s: the file contains no addresses or no team keys: write it with plantainwinch dev --out %s", path, path)
	}
	return t, merry.Wrap(lines.Err())
}

// backends returns the VMs of one role.
func (t *Target) backends(ctx context.Context, role winch.Role) ([]winch.VM, error) {
	c := &store.Client{Address: t.Platform}
	list, _, err := c.VMs(ctx, 0)
	var out []winch.VM
	for _, vm := range list {
		if vm.Role == role {
			out = append(out, vm)
		}
	}
	return out, err
}

// send makes a request with a JSON body, or without a body if it is nil.
func (t *Target) send(ctx context.Context, method, url, key string, body any) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, merry.Wrap(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := t.HTTP.Do(req)
	return resp, merry.Wrap(err)
}

// fetch makes a request and decodes the response, which must have status 200.
func (t *Target) fetch(ctx context.Context, method, url, key string, body, into any) error {
	resp, err := t.send(ctx, method, url, key, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.New(resp.Status)
	}
	if into == nil {
		return nil
	}
	return merry.Wrap(json.NewDecoder(resp.Body).Decode(into))
}

// getJSON makes a GET request without a key and decodes the response.
func (t *Target) getJSON(ctx context.Context, url string, into any) error {
	return t.fetch(ctx, http.MethodGet, url, "", nil, into)
}

// Observed holds the counts of the stand-ins of executors and workers.
type Observed struct {
	// Runs is the number of runs of each request.
	Runs map[string]int
	// Starts is the number of starts of each task.
	Starts map[string]int
	// Overcommitted is the number of task starts that exceeded the size of the worker.
	Overcommitted int
}

// observe fetches the counts of all stand-ins.
func (t *Target) observe(ctx context.Context) (Observed, error) {
	out := Observed{Runs: make(map[string]int), Starts: make(map[string]int)}
	execs, err := t.backends(ctx, winch.RoleExecutor)
	if err != nil {
		return out, err
	}
	for _, vm := range execs {
		var c stand.ExecCounts
		if err := t.getJSON(ctx, "http://"+vm.Address+"/Stand/Counts", &c); err != nil {
			return out, err
		}
		for id, n := range c.Runs {
			out.Runs[id] += n
		}
	}
	workers, err := t.backends(ctx, winch.RoleWorker)
	if err != nil {
		return out, err
	}
	for _, vm := range workers {
		var c stand.WorkerCounts
		if err := t.getJSON(ctx, "http://"+vm.Address+"/Stand/Counts", &c); err != nil {
			return out, err
		}
		out.Overcommitted += c.Overcommitted
		for id, n := range c.Starts {
			out.Starts[id] += n
		}
	}
	return out, nil
}

// Cost is the control traffic of all entries together.
type Cost struct {
	StoreCalls, StoreBytes, PeerFrames, PeerBytes, WorkerCalls, WorkerBytes int64
}

// gauge is one metric in the response of /Metrics.
type gauge struct{ Value int64 }

// controlMetrics holds the gauges that Cost sums up.
type controlMetrics struct {
	StoreCalls  gauge `json:"Control.Store.Calls"`
	StoreBytes  gauge `json:"Control.Store.Bytes"`
	PeerFrames  gauge `json:"Control.Peer.Frames"`
	PeerBytes   gauge `json:"Control.Peer.Bytes"`
	WorkerCalls gauge `json:"Control.Worker.Calls"`
	WorkerBytes gauge `json:"Control.Worker.Bytes"`
}

// cost returns the sums of the entries' gauges.
func (t *Target) cost(ctx context.Context) (Cost, error) {
	var out Cost
	for _, address := range t.Callers {
		var m controlMetrics
		if err := t.getJSON(ctx, "http://"+address+"/Metrics", &m); err != nil {
			return out, err
		}
		out.StoreCalls += m.StoreCalls.Value
		out.StoreBytes += m.StoreBytes.Value
		out.PeerFrames += m.PeerFrames.Value
		out.PeerBytes += m.PeerBytes.Value
		out.WorkerCalls += m.WorkerCalls.Value
		out.WorkerBytes += m.WorkerBytes.Value
	}
	return out, nil
}

// sub returns the cost since an earlier measurement.
func (c Cost) sub(earlier Cost) Cost {
	return Cost{
		c.StoreCalls - earlier.StoreCalls, c.StoreBytes - earlier.StoreBytes, c.PeerFrames - earlier.PeerFrames,
		c.PeerBytes - earlier.PeerBytes, c.WorkerCalls - earlier.WorkerCalls, c.WorkerBytes - earlier.WorkerBytes,
	}
}

// setFaults sets the faults that the platform injects.
func (t *Target) setFaults(ctx context.Context, f stand.Faults) error {
	return t.fetch(ctx, http.MethodPut, "http://"+t.Platform+"/Faults", "", f, nil)
}

// perSecond formats a count as a rate per second.
func perSecond(n int64, d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(n)/d.Seconds())
}
