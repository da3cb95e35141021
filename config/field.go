package config

import (
	"time"

	"github.com/endivechute/endivechute/place"
)

// Field identifies a numeric setting of a policy. Teams and services can set
// each field in general and for single regions. Services can set slots and
// connections for single targets too.
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
	// DeadlineMillisMax is the maximum deadline, in milliseconds.
	DeadlineMillisMax = 600_000
	// SlotsMax is the maximum number of slots of one target.
	SlotsMax = 100_000
	// ConnectionsMax is the maximum number of connections of one target.
	ConnectionsMax = 1_000_000
	// AnswerBytesMax is the maximum value of answer_bytes_max, in bytes.
	AnswerBytesMax = 256 << 20
)

// fieldSpec describes a numeric setting: its name in JSON, its allowed range
// and its default.
type fieldSpec struct {
	name         string
	bounds       numberRange
	defaultValue float64
	// byTarget is true if the setting can be set for a single target.
	byTarget bool
}

var (
	percentRange = numberRange{min: 0, max: 100}
	stepRange    = numberRange{min: 0.1, max: 100}
	fieldSpecs   = [FieldCount]fieldSpec{
		FieldDeadline:     {"deadline_ms", numberRange{1, DeadlineMillisMax, true}, float64(DefaultDeadline / time.Millisecond), false},
		FieldSlots:        {"slots", numberRange{1, SlotsMax, true}, DefaultSlots, true},
		FieldConnections:  {"connections", numberRange{1, ConnectionsMax, true}, DefaultConnections, true},
		FieldCapPercent:   {"cap_percent", percentRange, DefaultCapPercent, false},
		FieldStepPercent:  {"step_percent", stepRange, DefaultStepPercent, false},
		FieldHedgePercent: {"hedge_percent", percentRange, DefaultHedgePercent, false},
		FieldRetryPercent: {"retry_percent", percentRange, DefaultRetryPercent, false},
		FieldAnswerBytes:  {"answer_bytes_max", numberRange{1, AnswerBytesMax, true}, DefaultAnswerBytes, false},
	}
)

// String returns the field's name in JSON.
func (f Field) String() string { return fieldSpecs[f].name }

// values holds the numeric settings that one JSON object sets. Fields that are
// not set are inherited.
type values struct {
	isSet [FieldCount]bool
	value [FieldCount]float64
}

func (v *values) set(field Field, value float64) {
	v.isSet[field] = true
	v.value[field] = value
}

// numericField parses the member into dst and returns true if it is a numeric
// setting that is allowed here, and returns false otherwise. With targetOnly
// only the settings of single targets are allowed.
func (r *reader) numericField(m member, dst *values, targetOnly bool) bool {
	for field, spec := range fieldSpecs {
		if spec.name != m.name || (targetOnly && !spec.byTarget) {
			continue
		}
		if value, ok := r.number(m, spec.bounds); ok {
			dst.set(Field(field), value)
		}
		return true
	}
	return false
}

// numericFields parses an object that has only numeric settings.
func (r *reader) numericFields(m member, targetOnly bool) values {
	var settings values
	for _, inner := range r.members(m.path, m.value) {
		if !r.numericField(inner, &settings, targetOnly) {
			r.unknownField(inner, numericFieldNames(targetOnly))
		}
	}
	return settings
}

func numericFieldNames(targetOnly bool) []string {
	var names []string
	for _, spec := range fieldSpecs {
		if spec.byTarget || !targetOnly {
			names = append(names, spec.name)
		}
	}
	return names
}

// Origin is the object, and the place within it, that set a value.
type Origin struct {
	path    string
	within  string
	version uint64
}

// Path returns the path of the object, "" for a built-in default.
func (o Origin) Path() string { return o.path }

// Version returns the version of the object, 0 if it is unknown.
func (o Origin) Version() uint64 { return o.version }

// String returns the path of the object and the place within it, such as
// "teams/library/search-desk regions.kigali", or "default" for a built-in
// default.
func (o Origin) String() string {
	if o.path == "" {
		return "default"
	}
	if o.within == "" {
		return o.path
	}
	return o.path + " " + o.within
}

// Value is the resolved value of a numeric setting and its origin.
type Value struct {
	field  Field
	number float64
	origin Origin
}

// Field returns the setting that the value belongs to.
func (v Value) Field() Field { return v.field }

// Number returns the value in the unit that the field's name states.
func (v Value) Number() float64 { return v.number }

// Origin returns the object that set the value.
func (v Value) Origin() Origin { return v.origin }

// layer is one level of inheritance: the values that one JSON object sets, and
// their origin.
type layer struct {
	values *values
	origin Origin
}

// resolve returns the field's value from the first layer that sets it, or its
// default.
func resolve(field Field, layers []layer) Value {
	for _, l := range layers {
		if l.values.isSet[field] {
			return Value{field: field, number: l.values.value[field], origin: l.origin}
		}
	}
	return Value{field: field, number: fieldSpecs[field].defaultValue}
}

// regionLayer returns the layer with the values that b sets for the region. The
// result is empty if b sets none.
func regionLayer(b *body, region place.Region, origin Origin) []layer {
	overrides, found := b.regions[region]
	if !found {
		return nil
	}
	origin.within = "regions." + string(region)
	return []layer{{values: &overrides, origin: origin}}
}

// FieldInfo describes a field of the settings for the settings reference.
type FieldInfo struct {
	name         string
	allowed      string
	defaultValue string
	byTarget     bool
}

// Name returns the field's name in JSON.
func (f FieldInfo) Name() string { return f.name }

// Allowed returns the allowed range of a numeric field, "" for other fields.
func (f FieldInfo) Allowed() string { return f.allowed }

// Default returns the default of a numeric setting, "" for other fields.
func (f FieldInfo) Default() string { return f.defaultValue }

// ByTarget reports whether the setting can be set for a single target.
func (f FieldInfo) ByTarget() bool { return f.byTarget }

// Reference returns every field that the settings may have.
func Reference() []FieldInfo {
	infos := make([]FieldInfo, 0, len(fieldSpecs)+len(nonNumericNames))
	for _, spec := range fieldSpecs {
		infos = append(infos, FieldInfo{name: spec.name, allowed: spec.bounds.String(), defaultValue: formatNumber(spec.defaultValue), byTarget: spec.byTarget})
	}
	infos = append(infos,
		FieldInfo{name: nameInFlightLimit, allowed: inFlightRange.String()},
		FieldInfo{name: nameMbit, allowed: mbitRange.String()},
		FieldInfo{name: namePercent, allowed: percentRange.String()},
		FieldInfo{name: nameStatus, allowed: statusRange.String()},
	)
	for _, name := range nonNumericNames {
		infos = append(infos, FieldInfo{name: name})
	}
	return infos
}
