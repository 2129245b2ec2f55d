// Package store calls the platform's key-value service and VM list over HTTP with
// JSON bodies. It also defines the wire format, which the simulated platform serves
// as well.
package store

import (
	"time"

	"plantainwinch/winch"
)

// Op is the name of a call of the service. It is the last element of the URL's path.
type Op string

// The calls of the service.
const (
	OpGet    Op = "Get"
	OpPut    Op = "Put"
	OpDelete Op = "Delete"
	OpList   Op = "List"
	OpGrant  Op = "Grant"
	OpRenew  Op = "Renew"
	OpRevoke Op = "Revoke"
	OpWatch  Op = "Watch"
	OpVMs    Op = "VMs"
)

// PathPrefix precedes the Op in the URL's path.
const PathPrefix = "/Store/"

// Call is the body of every request. Each Op uses the fields that it needs.
type Call struct {
	Key      string        `json:",omitempty"`
	Data     []byte        `json:",omitempty"`
	Version  uint64        `json:",omitempty"`
	Lease    string        `json:",omitempty"`
	TTL      time.Duration `json:",omitempty"`
	Prefixes []string      `json:",omitempty"`
}

// Code is the kind of failure reported in a Reply.
type Code string

// The kinds of failures.
const (
	CodeMissing     Code = "Missing"
	CodeConflict    Code = "Conflict"
	CodeUnavailable Code = "Unavailable"
)

// Reply is the body of every response.
type Reply struct {
	Code    Code           `json:",omitempty"`
	Values  []winch.Value  `json:",omitempty"`
	Changes []winch.Change `json:",omitempty"`
	Version uint64         `json:",omitempty"`
	Lease   string         `json:",omitempty"`
	VMs     []winch.VM     `json:",omitempty"`
}
