// Package setup defines the flags and environment variables of a process and
// validates them.
package setup

import (
	"flag"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/place"
)

// EnvPrefix is the prefix of the environment variables. The flag --caller-address
// can also be set as ENDIVECHUTE_CALLER_ADDRESS.
const EnvPrefix = "ENDIVECHUTE"

// Limits of the settings.
const (
	DrainTimeoutMin = time.Second
	DrainTimeoutMax = time.Hour
)

// ErrUsage marks every error about an invalid setting.
var ErrUsage = errors.New("invalid setting")

// Entry holds the settings of an entry process.
type Entry struct {
	instance        string
	zone            string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	platformAddress string
	peerSeeds       string
	logLevel        string
	logFormat       string
	drainTimeout    time.Duration
}

// NewEntry registers the flags of an entry process. Read the values only after
// the flags are parsed and Check has returned nil.
func NewEntry(flags *flag.FlagSet) *Entry {
	e := &Entry{}
	flags.StringVar(&e.instance, "instance", "", "name of this instance, unique in the fleet")
	flags.StringVar(&e.zone, "zone", "", "availability zone of this instance, as region/zone")
	flags.StringVar(&e.callerAddress, "caller-address", "", "IP:port on which callers are served")
	flags.StringVar(&e.peerAddress, "peer-address", "", "IP:port on which the other entry instances are served")
	flags.StringVar(&e.operatorAddress, "operator-address", "", "IP:port on which operators read dump, metrics and health")
	flags.StringVar(&e.platformAddress, "platform-address", "", "IP:port of the platform's store")
	flags.StringVar(&e.peerSeeds, "peer-seeds", "", "peers to ask while the platform is unreachable, as name=IP:port, separated by commas")
	flags.StringVar(&e.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.StringVar(&e.logFormat, "log-format", "text", "text or json")
	flags.DurationVar(&e.drainTimeout, "drain-timeout", 30*time.Second, "maximum time that a graceful shutdown waits for running requests")
	return e
}

// Check validates the settings. The error names the setting, its value and the
// allowed values, and is marked with ErrUsage.
func (e *Entry) Check() error {
	if err := place.CheckName("instance", e.instance); err != nil {
		return usage(err)
	}
	if _, err := place.ParseZone(e.zone); err != nil {
		return usage(errors.Wrap(err, "zone"))
	}
	if err := e.checkAddresses(); err != nil {
		return err
	}
	if _, err := parseSeeds(e.peerSeeds); err != nil {
		return usage(err)
	}
	if e.drainTimeout < DrainTimeoutMin || e.drainTimeout > DrainTimeoutMax {
		return usage(errors.Newf("drain-timeout: invalid duration %v: want %v to %v", e.drainTimeout, DrainTimeoutMin, DrainTimeoutMax))
	}
	return nil
}

// checkAddresses validates the addresses and requires that they differ from each
// other.
func (e *Entry) checkAddresses() error {
	own := map[string]string{}
	for _, setting := range []struct{ name, value string }{
		{"caller-address", e.callerAddress},
		{"peer-address", e.peerAddress},
		{"operator-address", e.operatorAddress},
		{"platform-address", e.platformAddress},
	} {
		if err := CheckAddress(setting.name, setting.value); err != nil {
			return err
		}
		if other, taken := own[setting.value]; taken {
			return usage(errors.Newf("%s: address %s is already used by %s; each setting needs its own address", setting.name, setting.value, other))
		}
		own[setting.value] = setting.name
	}
	return nil
}

// CheckAddress returns an error unless value is an IP address and a port. The
// error names the setting and is marked with ErrUsage.
func CheckAddress(setting, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return usage(errors.Newf("%s: invalid address %q: want an IP address and a port, such as 127.0.0.1:8000", setting, value))
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return usage(errors.Newf("%s: invalid port %q: want 1 to 65535", setting, port))
	}
	return nil
}

// parseSeeds parses a list such as "entry-1=127.0.0.1:8001,entry-2=127.0.0.1:8011".
func parseSeeds(text string) (map[place.Instance]string, error) {
	seeds := map[place.Instance]string{}
	if text == "" {
		return seeds, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, address, _ := strings.Cut(part, "=")
		if err := place.CheckName("peer-seeds: instance", name); err != nil {
			return nil, err
		}
		if err := CheckAddress("peer-seeds", address); err != nil {
			return nil, err
		}
		seeds[place.Instance(name)] = address
	}
	return seeds, nil
}

func usage(err error) error { return errors.Mark(err, ErrUsage) }

// Instance returns the name of the instance.
func (e *Entry) Instance() place.Instance { return place.Instance(e.instance) }

// Zone returns the availability zone of the instance.
func (e *Entry) Zone() place.Zone { return place.Zone(e.zone) }

// CallerAddress returns the address of the callers' port.
func (e *Entry) CallerAddress() string { return e.callerAddress }

// PeerAddress returns the address of the peers' port.
func (e *Entry) PeerAddress() string { return e.peerAddress }

// OperatorAddress returns the address of the operators' port.
func (e *Entry) OperatorAddress() string { return e.operatorAddress }

// PlatformAddress returns the address of the platform's store.
func (e *Entry) PlatformAddress() string { return e.platformAddress }

// Seeds returns the addresses of the peers to ask while the platform is
// unreachable.
func (e *Entry) Seeds() map[place.Instance]string {
	seeds, _ := parseSeeds(e.peerSeeds)
	return seeds
}

// LogLevel returns the lowest log level that is written.
func (e *Entry) LogLevel() string { return e.logLevel }

// LogFormat returns the format of the log, text or json.
func (e *Entry) LogFormat() string { return e.logFormat }

// DrainTimeout returns how long a graceful shutdown may take.
func (e *Entry) DrainTimeout() time.Duration { return e.drainTimeout }
