package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivechute/endivechute/platform/fakes"
)

// Ports of an instance. Each instance has a loopback address of its own.
const (
	portFront     = 8548
	portReady     = 8542
	portControl   = 8544
	portDirectory = 8546
)

const (
	program       = "target/endivechute"
	readyTimeout  = 15 * time.Second
	restartPause  = 300 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	region        = "kigali"
)

// bounds holds what differs between the settings of deployments.
type bounds struct {
	stability, drain, grace, configApply time.Duration
	retrySlack, memoryMB                 int
}

// smallBounds are the settings of kmlc-illnet, longBounds those of a deployment whose
// requests take longer (page large/LATER.md).
var (
	smallBounds = bounds{stability: 3 * time.Second, drain: 2 * time.Second, grace: 6 * time.Second, configApply: 2 * time.Second, retrySlack: 112, memoryMB: 206}
	longBounds  = bounds{stability: 4 * time.Second, drain: 4 * time.Second, grace: 10 * time.Second, configApply: 4 * time.Second, retrySlack: 430, memoryMB: 206}
)

// node is one instance: a real process that the platform starts again when it ends.
type node struct {
	name, zone, host string
	settings         string
	record           *record
	command          *exec.Cmd
	ended            chan struct{}
}

func (n *node) address(port int) string { return net.JoinHostPort(n.host, strconv.Itoa(port)) }

// fleet holds the stand-in of the platform's store and the instances.
type fleet struct {
	store  *fakes.Store
	nodes  []*node
	bounds bounds
	folder string
	record *record
}

// newFleet makes a store and an instance in each of the zones, which isn't started.
func newFleet(r *record, b bounds, zones ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "make a temporary folder")
	}
	f := &fleet{store: fakes.NewStore(), bounds: b, folder: folder, record: r}
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	for i, zone := range zones {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, host: fmt.Sprint(network, i+1), record: r})
	}
	for _, n := range f.nodes {
		n.settings = filepath.Join(folder, n.name+".conf")
		if err := os.WriteFile(n.settings, []byte(f.settingsOf(n)), 0o600); err != nil {
			return nil, errors.Wrap(err, "write the settings")
		}
	}
	return f, nil
}

// settingsOf returns the settings of an instance in a small deployment.
func (f *fleet) settingsOf(n *node) string {
	seeds := make([]string, 0, len(f.nodes))
	zones := ""
	for _, each := range f.nodes {
		seeds = append(seeds, each.address(portControl))
		zones += fmt.Sprintf("zones.%s=%s\n", each.zone, region)
	}
	b := f.bounds
	return fmt.Sprintf(`node_name=%s
role=entry
machine_class=front
serves=front,control,directory
ip=%s
zone=%s
region=%s
%slisten_addrs.front=%s
listen_addrs.ready=%s
listen_addrs.control=%s
listen_addrs.directory=%s
internal_ports=7540,7555
seed_nodes=%s
bootstrap=true
limits.memory_mb=%d
limits.max_fds=2870
heartbeat_ms=%d
contract_params.stability_window_ms=%d
contract_params.drain_timeout_ms=%d
contract_params.grace_period_s=%d
contract_params.config_apply_ms=%d
contract_params.retry_budget_ratio=0.2
contract_params.retry_window_s=10
contract_params.retry_budget_slack=%d
contract_params.cold_load_factor=1.5
contract_params.cold_slack=5
contract_params.evacuate_ms=5000
contract_params.ttl_max_s=5
contract_params.max_shift_fraction=0.15
platform.address=%s
platform.form=objects
platform.history_s=20
platform.value_bytes=1048576
`, n.name, n.host, n.zone, region, zones, n.address(portFront), n.address(portReady), n.address(portControl), n.address(portDirectory),
		strings.Join(seeds[:min(len(seeds), 3)], ","), b.memoryMB, heartbeatTime.Milliseconds(),
		b.stability.Milliseconds(), b.drain.Milliseconds(), int(b.grace.Seconds()), b.configApply.Milliseconds(), b.retrySlack, f.store.Address())
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "front", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ENDIVECHUTE_SETTINGS=" + n.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start an instance")
	}
	n.command, n.ended = command, make(chan struct{})
	n.record.line("process", "instance %s started as process %d", n.name, command.Process.Pid)
	ended := n.ended
	go func() {
		err := command.Wait()
		n.record.line("process", "process %d of instance %s ended: %v", command.Process.Pid, n.name, err)
		close(ended)
	}()
	return nil
}

// stop ends the process for good.
func (n *node) stop() {
	if n.command != nil {
		_ = n.command.Process.Signal(syscall.SIGKILL)
		<-n.ended
	}
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.address(portReady)+"/-/readiness", http.NoBody)
		if err != nil {
			return errors.Wrap(err, "make a request")
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && n.accepts() {
			return nil
		}
	}
	return errors.Newf("instance %s was not ready within %v", n.name, readyTimeout)
}

// accepts reports whether the clients' port is open, which it is soon after the instance
// says that it is ready.
func (n *node) accepts() bool {
	conn, err := net.DialTimeout("tcp", n.address(portFront), time.Second)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// close ends all processes and removes what they wrote.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.store.Close()
	_ = os.RemoveAll(f.folder)
}
