package tenant

import "slices"

// Table finds tenants by the digests of their keys. A nil Table has no tenants.
type Table struct {
	byKey   map[Digest]*Tenant
	tenants []*Tenant
	// invalid is true if the configuration has tenants but they can't be read.
	invalid bool
	// incomplete is true if tenants have keys that can't be read.
	incomplete bool
}

// NewTable returns a Table of the tenants. A key that several of them have finds a
// tenant that is unusable, because it isn't known whose the key is. shared holds the
// digests of these keys.
func NewTable(specs []Spec) (t *Table, shared []Digest) {
	t = &Table{byKey: map[Digest]*Tenant{}}
	for _, spec := range specs {
		added := New(spec)
		t.tenants = append(t.tenants, added)
		for _, key := range spec.Keys {
			if other, found := t.byKey[key]; found && other != added && !slices.Contains(shared, key) {
				shared = append(shared, key)
			}
			t.byKey[key] = added
		}
	}
	for _, key := range shared {
		t.byKey[key] = New(Spec{Unusable: true})
	}
	return t, shared
}

// NewInvalidTable returns the Table of a configuration whose tenants can't be read.
func NewInvalidTable() *Table { return &Table{invalid: true} }

// Invalid reports whether the configuration has tenants but they can't be read.
func (t *Table) Invalid() bool { return t != nil && t.invalid }

// WithoutSomeKeys marks the table as incomplete: tenants have keys that can't be read.
func (t *Table) WithoutSomeKeys() *Table {
	t.incomplete = true
	return t
}

// Incomplete reports whether tenants have keys that can't be read. A key that isn't
// found may then be one of them.
func (t *Table) Incomplete() bool { return t != nil && t.incomplete }

// InForce reports whether requests need a key.
func (t *Table) InForce() bool { return t != nil && (t.invalid || len(t.tenants) > 0) }

// Find returns the tenant that has a key, by the digest of the key.
func (t *Table) Find(key Digest) (*Tenant, bool) {
	if t == nil {
		return nil, false
	}
	found, ok := t.byKey[key]
	return found, ok
}

// Tenants returns all tenants. The caller must not change the slice.
func (t *Table) Tenants() []*Tenant {
	if t == nil {
		return nil
	}
	return t.tenants
}
