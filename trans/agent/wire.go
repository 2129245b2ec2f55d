// Package agent calls the agents of worker VMs over HTTP with CBOR bodies. It also
// defines the wire format, which the simulated platform serves as well.
package agent

import (
	"time"

	"plantainwinch/winch"
)

// Op is the name of an agent's call. It is the last element of the URL's path.
type Op string

// The calls of an agent.
const (
	OpStart Op = "Start"
	OpRenew Op = "Renew"
	OpStop  Op = "Stop"
)

// PathPrefix precedes the Op in the URL's path.
const PathPrefix = "/Agent/"

// Call is the body of every request. Each Op uses the fields that it needs.
type Call struct {
	Epoch uint64
	Task  winch.Task    `cbor:",omitzero"`
	Lease time.Duration `cbor:",omitempty"`
	Wait  time.Duration `cbor:",omitempty"`
	Full  bool          `cbor:",omitempty"`
	// Forget lists ended attempts whose results the caller has recorded.
	Forget []winch.Attempt `cbor:",omitempty"`
}

// Code is the kind of failure reported in a Reply.
type Code string

// The kinds of failures.
const (
	CodeFenced  Code = "Fenced"
	CodeRefused Code = "Refused"
)

// Reply is the body of every response.
type Reply struct {
	Code   Code         `cbor:",omitempty"`
	Report winch.Report `cbor:",omitzero"`
	Had    bool         `cbor:",omitempty"` // Had reports whether the worker had the run that OpStop names.
}
