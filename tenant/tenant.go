// Package tenant holds the tenants of a configuration: the customers' own
// customers, who are told apart by API keys. Keys are kept as digests only. A Table
// is immutable, so that requests read it without a lock. The package does no I/O.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/quota"
)

// digestBytes is the length of a Digest. Half of a SHA-256 sum leaves no realistic
// chance that two keys have the same digest.
const digestBytes = 16

// Digest is the digest of an API key. It takes the place of the key everywhere but
// in the client's own request.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:digestBytes])
}

// ParseDigest parses the text form of a digest.
func ParseDigest(text string) (d Digest, valid bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != digestBytes {
		return Digest{}, false
	}
	return Digest(decoded), true
}

// String returns the digest as hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Spec holds the settings of a Tenant.
type Spec struct {
	Name place.Tenant
	Keys []Digest
	// Priority takes precedence over the priority of a route, 0 being the highest.
	// It is nil if the tenant has none.
	Priority *int
	Quota    quota.Quota
	// AllowedRegions are the only regions that may serve the tenant. If empty, all
	// may.
	AllowedRegions []place.Region
	// Unusable is true if the configuration of the tenant is invalid, so that its
	// requests can't be served.
	Unusable bool
}

// Tenant holds the settings for the requests of one tenant.
type Tenant struct{ spec Spec }

// New returns a Tenant.
func New(spec Spec) *Tenant { return &Tenant{spec: spec} }

// Name returns the name of the tenant.
func (t *Tenant) Name() place.Tenant { return t.spec.Name }

// Quota returns the limit on the tenant's requests.
func (t *Tenant) Quota() quota.Quota { return t.spec.Quota }

// Unusable reports whether the configuration of the tenant is invalid, so that its
// requests can't be served.
func (t *Tenant) Unusable() bool { return t.spec.Unusable }

// AllowedRegions returns the only regions that may serve the tenant. If empty, all
// may. The caller must not change the slice.
func (t *Tenant) AllowedRegions() []place.Region { return t.spec.AllowedRegions }

// AllowedIn reports whether targets of the region may serve the tenant.
func (t *Tenant) AllowedIn(region place.Region) bool {
	return len(t.spec.AllowedRegions) == 0 || slices.Contains(t.spec.AllowedRegions, region)
}

// Priority returns the priority of the tenant's requests on a route with the given
// priority.
func (t *Tenant) Priority(ofRoute int) int {
	if t.spec.Priority == nil {
		return ofRoute
	}
	return *t.spec.Priority
}
