// Package check reports what is wrong with a configuration of the platform before it comes
// into force: errors, entries that can never match, limits that contradict each other, and
// what differs from the version in force. It does no I/O.
package check

import (
	"time"

	"github.com/endivechute/endivechute/tenant"
)

// Config is a configuration as it was written, with what is missing or invalid in it.
type Config struct {
	// Version is 0 if none is given.
	Version  uint64
	Services []Service
	Limits   Limits
	Hosts    []Host
	Tenants  []Tenant
	// Unreadable holds the parts that can't be decoded.
	Unreadable []Unreadable
}

// Unreadable is a part of a configuration that can't be decoded.
type Unreadable struct {
	// Where names the part, and Why says what is wrong with it, without its content, which
	// may have keys.
	Where, Why string
}

// Service is an entry of the list of services.
type Service struct {
	Name, HealthPath string
	Connections      int
	ColdTime         time.Duration
	// ColdRate is in requests per second.
	ColdRate float64
}

// Limits are the limits on clients' requests and connections.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Host is an entry of the list of hosts.
type Host struct {
	Name   string
	Routes []Route
}

// Route is a route of a host.
type Route struct {
	Name, Prefix string
	// Type is the type of its requests, and TypeKnown is false if there is no such type.
	Type         string
	TypeKnown    bool
	Timeout, Aim time.Duration
	Priority     int
	Attempts     int
	// Service gets all requests if no part of the split has a weight.
	Service  string
	Split    []Part
	Regions  []string
	Affinity bool
	Public   bool
}

// Part is one part of a route's traffic split.
type Part struct {
	Service string
	// Weight is nil if none is given.
	Weight *float64
}

// Tenant is an entry of the list of tenants.
type Tenant struct {
	Name string
	Keys []tenant.Digest
	// Priority is nil if the tenant has none.
	Priority *int
	// PerSecond and Burst are the quota, in requests.
	PerSecond, Burst float64
	Regions          []string
}
