// Package block maps the address of a client to the site that serves it. Client
// blocks are IP prefixes, each assigned to a site. They are stored as versioned
// chunks, objects of the platform's store under "blocks/", and loaded into one
// prefix table. An update builds a new table and replaces the current one
// through an atomic pointer, so that a look-up takes no lock and allocates
// nothing.
package block

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

const (
	// ChunkBytesMax is the maximum size of a chunk's value, in bytes.
	ChunkBytesMax = 1 << 20
	// ChunkFormat is the version of the chunk format that this package reads and
	// writes.
	ChunkFormat = 1
)

// SiteName is the name of a site, unique in the fleet.
type SiteName string

// Site is a location that serves clients, with its availability zone.
type Site struct {
	name SiteName
	zone place.Zone
}

// NewSite returns a Site. It does not check the names.
func NewSite(name SiteName, zone place.Zone) Site { return Site{name: name, zone: zone} }

// Name returns the name of the site.
func (s Site) Name() SiteName { return s.name }

// Zone returns the availability zone of the site.
func (s Site) Zone() place.Zone { return s.zone }

// Mapping is one block of client addresses and the site that serves it.
type Mapping struct {
	prefix netip.Prefix
	site   Site
}

// NewMapping returns a Mapping. The prefix must be masked: its host bits are
// zero.
func NewMapping(prefix netip.Prefix, site Site) Mapping { return Mapping{prefix: prefix, site: site} }

// Prefix returns the block of addresses.
func (e Mapping) Prefix() netip.Prefix { return e.prefix }

// Site returns the site that serves the block.
func (e Mapping) Site() Site { return e.site }

type chunkBody struct {
	Form  int        `json:"form"`
	Sites []siteBody `json:"sites"`
}

type siteBody struct {
	Site   SiteName `json:"site"`
	Zone   string   `json:"zone"`
	Blocks []string `json:"blocks"`
}

// ParseChunk parses and validates the JSON value of a chunk. It returns an error
// with the cause and the place for a value that is too long, an unknown field or
// format version, an invalid name, a prefix that is not masked or is an
// IPv4-mapped IPv6 prefix, and a duplicate site or prefix.
func ParseChunk(value []byte) ([]Mapping, error) {
	if len(value) > ChunkBytesMax {
		return nil, errors.Newf("chunk: %d bytes are given, at most %d are allowed", len(value), ChunkBytesMax)
	}
	var body chunkBody
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, errors.Wrap(err, "chunk: invalid JSON value")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("chunk: data after the JSON object; want a single object")
	}
	if body.Form != ChunkFormat {
		return nil, errors.Newf("chunk: form %d is given, want %d", body.Form, ChunkFormat)
	}
	return parseSites(body.Sites)
}

func parseSites(bodies []siteBody) ([]Mapping, error) {
	total := 0
	for i := range bodies {
		total += len(bodies[i].Blocks)
	}
	mappings := make([]Mapping, 0, total)
	siteNames := make(map[SiteName]struct{}, len(bodies))
	seen := make(map[netip.Prefix]struct{}, total)
	for i := range bodies {
		site, err := parseSite(&bodies[i])
		if err != nil {
			return nil, err
		}
		if _, duplicate := siteNames[site.name]; duplicate {
			return nil, errors.Newf("chunk: site %q appears twice; merge its blocks", site.name)
		}
		siteNames[site.name] = struct{}{}
		for _, text := range bodies[i].Blocks {
			prefix, err := parsePrefix(text)
			if err != nil {
				return nil, errors.Wrapf(err, "chunk: site %q", site.name)
			}
			if _, duplicate := seen[prefix]; duplicate {
				return nil, errors.Newf("chunk: site %q: block %s appears twice in the chunk", site.name, prefix)
			}
			seen[prefix] = struct{}{}
			mappings = append(mappings, Mapping{prefix: prefix, site: site})
		}
	}
	return mappings, nil
}

func parseSite(body *siteBody) (Site, error) {
	if err := place.CheckName("site", string(body.Site)); err != nil {
		return Site{}, errors.Wrap(err, "chunk")
	}
	zone, err := place.ParseZone(body.Zone)
	if err != nil {
		return Site{}, errors.Wrapf(err, "chunk: site %q", body.Site)
	}
	return Site{name: body.Site, zone: zone}, nil
}

func parsePrefix(text string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, errors.Wrap(err, "want a block such as 41.186.0.0/24")
	}
	if prefix.Addr().Is4In6() {
		return netip.Prefix{}, errors.Newf("block %s: want an IPv4 block in IPv4 notation", text)
	}
	if prefix != prefix.Masked() {
		return netip.Prefix{}, errors.Newf("block %s: host bits are set; want %s", text, prefix.Masked())
	}
	return prefix, nil
}

// FormatChunk returns the JSON value of a chunk with the mappings, in any order.
// It returns an error if the value would exceed ChunkBytesMax or if a site
// appears in two availability zones.
func FormatChunk(mappings []Mapping) ([]byte, error) {
	body := chunkBody{Form: ChunkFormat, Sites: []siteBody{}}
	positions := make(map[SiteName]int)
	for _, e := range mappings {
		i, known := positions[e.site.name]
		if !known {
			i = len(body.Sites)
			positions[e.site.name] = i
			body.Sites = append(body.Sites, siteBody{Site: e.site.name, Zone: string(e.site.zone)})
		}
		if body.Sites[i].Zone != string(e.site.zone) {
			return nil, errors.Newf("chunk: site %q is in %s and in %s; want one availability zone",
				e.site.name, body.Sites[i].Zone, e.site.zone)
		}
		body.Sites[i].Blocks = append(body.Sites[i].Blocks, e.prefix.String())
	}
	value, err := json.Marshal(&body)
	if err != nil {
		return nil, errors.Wrap(err, "chunk")
	}
	if len(value) > ChunkBytesMax {
		return nil, errors.Newf("chunk: %d bytes, at most %d are allowed; split it", len(value), ChunkBytesMax)
	}
	return value, nil
}
