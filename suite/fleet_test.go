package suite

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/load"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/store"
)

const (
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
	portMin      = 10_000
	portSpread   = 20_000
)

type fleetKey struct{}

// fleet is the set of processes of one scenario.
type fleet struct {
	directory string
	client    *http.Client
	platform  string
	processes map[string]*process
	addresses map[string]string // of targets, and of the entries for callers
	operators map[string]string
	roster    store.Roster
	marks     map[string]time.Time
	loads     map[string]*backgroundLoad
	tasks     conc.WaitGroup
}

// process is a program that the scenario started.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	err     error
}

// backgroundLoad is a load that may still be running.
type backgroundLoad struct {
	done    chan struct{}
	summary load.Summary
	err     error
	shown   bool
}

func newFleet(directory string) *fleet {
	return &fleet{
		directory: directory, client: &http.Client{Timeout: 5 * time.Second},
		processes: map[string]*process{}, addresses: map[string]string{}, operators: map[string]string{},
		marks: map[string]time.Time{}, loads: map[string]*backgroundLoad{},
	}
}

var ports struct {
	mutex     sync.Mutex
	allocated map[int]bool
}

// freeAddress returns a loopback address with a free port. It never returns one
// twice, and the ports are below the system's ephemeral range.
func freeAddress() string {
	ports.mutex.Lock()
	defer ports.mutex.Unlock()
	if ports.allocated == nil {
		ports.allocated = map[int]bool{}
	}
	for {
		port := portMin + rand.IntN(portSpread)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ports.allocated[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports.allocated[port] = true
		return address
	}
}

// start runs a program whose output goes to NAME.log in the scenario's directory.
func (f *fleet) start(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(programs, program), args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, log: log, ended: make(chan struct{})}
	f.processes[name] = p
	f.tasks.Go(func() {
		p.err = command.Wait()
		_ = log.Close()
		close(p.ended)
	})
	return nil
}

// close kills every process that the scenario left running.
func (f *fleet) close() {
	for _, l := range f.loads {
		<-l.done
	}
	for _, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	f.tasks.Wait()
	f.client.CloseIdleConnections()
}

func (f *fleet) signal(name string, signal syscall.Signal) error {
	p := f.processes[name]
	if p == nil {
		return fmt.Errorf("there is no process %q", name)
	}
	return p.command.Process.Signal(signal)
}

// awaitExit waits until the process has exited by itself. It returns an error
// if the status is not 0.
func (f *fleet) awaitExit(name string) error {
	p := f.processes[name]
	if p == nil {
		return fmt.Errorf("there is no process %q", name)
	}
	select {
	case <-p.ended:
		return p.err
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s is still running after %v", name, waitTimeout)
	}
}

// send makes one HTTP call and returns the body of an answer with status 200.
func (f *fleet) send(method, url, body string) ([]byte, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, url, answer.StatusCode, bytes.TrimSpace(text))
	}
	return text, err
}

// retryUntil repeats a call that may fail at first, such as one to a process
// that is still starting, until it succeeds or waitTimeout has passed.
func retryUntil(what string, ok func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := ok()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: did not succeed within %v: %w", what, waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// publish sends the list of instances to the platform.
func (f *fleet) publish() error {
	text, err := json.Marshal(f.roster)
	if err != nil {
		return err
	}
	return retryUntil("publish the list of instances", func() error {
		_, err := f.send(http.MethodPost, "http://"+f.platform+"/control/instances", string(text))
		return err
	})
}

// setState changes the state of an entry or a target in the list of instances;
// "gone" removes it from the list.
func (f *fleet) setState(name string, state store.State) error {
	found := false
	for i := range f.roster.Entries {
		if string(f.roster.Entries[i].Instance) == name {
			f.roster.Entries[i].State, found = state, true
		}
	}
	for i := range f.roster.Targets {
		if string(f.roster.Targets[i].Target) == name {
			f.roster.Targets[i].State, found = state, true
		}
	}
	if !found {
		return fmt.Errorf("%q is neither an entry nor a target", name)
	}
	f.roster.Entries = slices.DeleteFunc(f.roster.Entries, func(e store.Entry) bool { return e.State == "gone" })
	f.roster.Targets = slices.DeleteFunc(f.roster.Targets, func(t store.Target) bool { return t.State == "gone" })
	return f.publish()
}

// startEntry starts an entry. A replacement may have the name of an earlier one.
func (f *fleet) startEntry(name, zone string, extra []string) error {
	entry := store.Entry{Instance: place.Instance(name), Zone: place.Zone(zone), State: store.StateLive}
	entry.CallerAddress, entry.PeerAddress = freeAddress(), freeAddress()
	operators := freeAddress()
	args := append([]string{
		"entry", "--instance=" + name, "--zone=" + zone, "--caller-address=" + entry.CallerAddress,
		"--peer-address=" + entry.PeerAddress, "--operator-address=" + operators, "--platform-address=" + f.platform,
	}, extra...)
	f.roster.Entries = slices.DeleteFunc(f.roster.Entries, func(e store.Entry) bool { return string(e.Instance) == name })
	f.roster.Entries = append(f.roster.Entries, entry)
	f.addresses[name], f.operators[name] = entry.CallerAddress, operators
	if err := f.start(name, "endivechute", args...); err != nil {
		return err
	}
	return f.publish()
}

// startTargets starts count targets NAME-1, NAME-2, ... in one process.
func (f *fleet) startTargets(name, zone, service string, count int, extra []string) error {
	args := append([]string{"targets", "--zone=" + zone, "--service=" + service}, extra...)
	for i := range count {
		target, address := fmt.Sprintf("%s-%d", name, i+1), freeAddress()
		args = append(args, "--target="+target+"="+address)
		f.addresses[target] = address
		f.roster.Targets = append(f.roster.Targets, store.Target{
			Target: place.Target(target), Service: place.Service(service), Zone: place.Zone(zone), Address: address, State: store.StateLive,
		})
	}
	if err := f.start(name, "standin", args...); err != nil {
		return err
	}
	return f.publish()
}

// putPolicy writes the settings of a service as its next version.
func (f *fleet) putPolicy(service, policy string) error {
	url := "http://" + f.platform + "/v1/objects/teams/" + service
	var object struct {
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	var previous *config.Envelope
	if text, err := f.send(http.MethodGet, url, ""); err == nil {
		if err := json.Unmarshal(text, &object); err != nil {
			return err
		}
		if previous, err = config.ParseEnvelope(object.Value); err != nil {
			return err
		}
	}
	change := fmt.Sprintf("change-%d", object.Version+1)
	value, err := config.NewEnvelope(previous, "suite", change, time.Now(), []byte(policy)).Encode()
	if err != nil {
		return err
	}
	_, err = f.send(http.MethodPut, url+"?if_version="+strconv.FormatUint(object.Version, 10), string(value))
	return err
}

// targets returns the addresses of all targets by service.
func (f *fleet) targets() map[place.Service][]string {
	found := map[place.Service][]string{}
	for _, t := range f.roster.Targets {
		found[t.Service] = append(found[t.Service], t.Address)
	}
	return found
}

func (f *fleet) entries() []string {
	found := make([]string, 0, len(f.roster.Entries))
	for _, e := range f.roster.Entries {
		found = append(found, e.CallerAddress)
	}
	return found
}
