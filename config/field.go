package config

import (
	"time"

	"github.com/endivechute/endivechute/place"
)

// Field is one numeric setting of a policy. Each can be given by a team, a
// service, and both of them for one region; slots and connections also for one
// target.
type Field uint8

// The numeric settings.
const (
	FieldDeadline Field = iota
	FieldSlots
	FieldConnections
	FieldCapPercent
	FieldStepPercent
	FieldHedgePercent
	FieldRetryPercent
	FieldAnswerBytes
	// FieldCount is the number of numeric settings.
	FieldCount
)

// Defaults and ranges of the numeric settings.
const (
	DefaultDeadline     = 2 * time.Second
	DefaultSlots        = 4
	DefaultConnections  = 64
	DefaultCapPercent   = 0
	DefaultStepPercent  = 5
	DefaultHedgePercent = 5
	DefaultRetryPercent = 10
	DefaultAnswerBytes  = 1 << 20
	// DeadlineMillisMax is the longest deadline, in milliseconds.
	DeadlineMillisMax = 600_000
	// SlotsMax is the most slots of one target.
	SlotsMax = 100_000
	// ConnectionsMax is the most connections of one target.
	ConnectionsMax = 1_000_000
	// AnswerBytesMax is the largest answer that can be allowed, in bytes.
	AnswerBytesMax = 256 << 20
)

// fieldSpec describes one numeric setting.
type fieldSpec struct {
	name     string
	span     span
	fallback float64
	// byTarget tells that the setting can be given for one target.
	byTarget bool
}

var (
	percentSpan = span{least: 0, most: 100}
	stepSpan    = span{least: 0.1, most: 100}
	fieldSpecs  = [FieldCount]fieldSpec{
		FieldDeadline:     {"deadline_ms", span{1, DeadlineMillisMax, true}, float64(DefaultDeadline / time.Millisecond), false},
		FieldSlots:        {"slots", span{1, SlotsMax, true}, DefaultSlots, true},
		FieldConnections:  {"connections", span{1, ConnectionsMax, true}, DefaultConnections, true},
		FieldCapPercent:   {"cap_percent", percentSpan, DefaultCapPercent, false},
		FieldStepPercent:  {"step_percent", stepSpan, DefaultStepPercent, false},
		FieldHedgePercent: {"hedge_percent", percentSpan, DefaultHedgePercent, false},
		FieldRetryPercent: {"retry_percent", percentSpan, DefaultRetryPercent, false},
		FieldAnswerBytes:  {"answer_bytes_max", span{1, AnswerBytesMax, true}, DefaultAnswerBytes, false},
	}
)

// String returns the name of the field in JSON.
func (f Field) String() string { return fieldSpecs[f].name }

// values are the numeric settings that one place of the tree gives.
type values struct {
	given [FieldCount]bool
	value [FieldCount]float64
}

func (v *values) set(field Field, value float64) {
	v.given[field] = true
	v.value[field] = value
}

// scalar reads the member if it is a numeric setting.
func (r *reader) scalar(m member, into *values, targetOnly bool) bool {
	for field, spec := range fieldSpecs {
		if spec.name != m.name || (targetOnly && !spec.byTarget) {
			continue
		}
		if value, ok := r.number(m, spec.span); ok {
			into.set(Field(field), value)
		}
		return true
	}
	return false
}

// block reads an object that holds numeric settings only.
func (r *reader) block(m member, targetOnly bool) values {
	var block values
	for _, inner := range r.members(m.path, m.value) {
		if !r.scalar(inner, &block, targetOnly) {
			r.unknown(inner, scalarNames(targetOnly))
		}
	}
	return block
}

func scalarNames(targetOnly bool) []string {
	var names []string
	for _, spec := range fieldSpecs {
		if spec.byTarget || !targetOnly {
			names = append(names, spec.name)
		}
	}
	return names
}

// Origin tells where in the tree a value comes from.
type Origin struct {
	path    string
	within  string
	version uint64
}

// Path returns the path of the object, "" for a built-in default.
func (o Origin) Path() string { return o.path }

// Version returns the version of the object, 0 if it is not known.
func (o Origin) Version() uint64 { return o.version }

// String returns the object and the place within it, such as
// "teams/library/search-desk regions.kigali", or "default".
func (o Origin) String() string {
	if o.path == "" {
		return "default"
	}
	if o.within == "" {
		return o.path
	}
	return o.path + " " + o.within
}

// Value is a numeric setting in force and its origin.
type Value struct {
	field  Field
	number float64
	origin Origin
}

// Field returns which setting it is.
func (v Value) Field() Field { return v.field }

// Number returns the value in the unit that the field's name tells.
func (v Value) Number() float64 { return v.number }

// Origin returns where the value comes from.
func (v Value) Origin() Origin { return v.origin }

// layer is one place of the tree that may give values.
type layer struct {
	values *values
	origin Origin
}

// resolve looks up a field in the layers, of which the first wins.
func resolve(field Field, layers []layer) Value {
	for _, l := range layers {
		if l.values.given[field] {
			return Value{field: field, number: l.values.value[field], origin: l.origin}
		}
	}
	return Value{field: field, number: fieldSpecs[field].fallback}
}

// regionLayer returns the layer of a region's own values, if there are any.
func regionLayer(b *body, region place.Region, origin Origin) []layer {
	block, found := b.regions[region]
	if !found {
		return nil
	}
	origin.within = "regions." + string(region)
	return []layer{{values: &block, origin: origin}}
}

// FieldInfo describes one setting for the settings reference.
type FieldInfo struct {
	name     string
	allowed  string
	fallback string
	byTarget bool
}

// Name returns the name of the field in JSON.
func (f FieldInfo) Name() string { return f.name }

// Allowed returns the range of a number, "" for other settings.
func (f FieldInfo) Allowed() string { return f.allowed }

// Default returns the default of a number, "" for other settings.
func (f FieldInfo) Default() string { return f.fallback }

// ByTarget tells whether the setting can be given for one target.
func (f FieldInfo) ByTarget() bool { return f.byTarget }

// Reference lists every field that the settings may have.
func Reference() []FieldInfo {
	infos := make([]FieldInfo, 0, len(fieldSpecs)+len(otherNames))
	for _, spec := range fieldSpecs {
		infos = append(infos, FieldInfo{name: spec.name, allowed: spec.span.String(), fallback: number(spec.fallback), byTarget: spec.byTarget})
	}
	infos = append(infos,
		FieldInfo{name: nameInFlightLimit, allowed: inFlightSpan.String()},
		FieldInfo{name: nameMbit, allowed: mbitSpan.String()},
		FieldInfo{name: namePercent, allowed: percentSpan.String()},
		FieldInfo{name: nameStatus, allowed: statusSpan.String()},
	)
	for _, name := range otherNames {
		infos = append(infos, FieldInfo{name: name})
	}
	return infos
}
