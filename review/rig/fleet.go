package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// place is where a front machine stands.
type place struct{ zone, region string }

// site holds what the settings of a site's smallest machines say.
type site struct {
	memoryMB  int
	contracts string
}

// The sites whose settings the cases use.
var (
	bonoseguro      = site{206, "base,drain,config,cost,retry,recover,places,platform"}
	bonoseguroGrown = site{136, "base,drain,config,cost,retry,recover,health,pool,places,platform"}
	cbctOrders      = site{136, "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,pressure,platform"}
)

// storeRegion is the region in which the store stands.
const storeRegion = "andina-centro"

// front is one front process of the system.
type front struct {
	name     string
	place    place
	host     string
	port     int
	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

func (f *front) clients() string { return net.JoinHostPort(f.host, strconv.Itoa(f.port)) }

// freePorts returns the first of n ports that are free on the hosts.
func freePorts(hosts []string, n int) (int, error) {
	for first := 20000 + os.Getpid()%200*50; first < 60000; first += n {
		free := true
		for _, host := range hosts {
			for i := range n {
				l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(first+i)))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

// newFronts returns the fronts of a deployment, which are not started yet. Each has a
// loopback address of its own and all have the same ports.
func newFronts(folder string, s *store, places []place, kind site) ([]*front, error) {
	var hosts []string
	for i := range places {
		hosts = append(hosts, fmt.Sprintf("127.0.%d.%d", 30+os.Getpid()%100, i+1))
	}
	port, err := freePorts(hosts, 20)
	if err != nil {
		return nil, err
	}
	zones := map[string]string{}
	for _, p := range places {
		zones[p.zone] = p.region
	}
	var fronts []*front
	for i, p := range places {
		f := &front{name: fmt.Sprintf("front-%s-%d", p.zone, i), place: p, host: hosts[i], port: port, settings: filepath.Join(folder, fmt.Sprintf("settings-%d.conf", i))}
		at := func(offset int) string { return net.JoinHostPort(f.host, strconv.Itoa(port+offset)) }
		var seeds []string
		for _, host := range hosts[:min(len(hosts), 3)] {
			seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(port+3)))
		}
		storeAddress := s.address
		if p.region != storeRegion {
			storeAddress = s.farAddress
		}
		lines := []string{
			"node_name=" + f.name, "role=entry", "machine_class=front", "serves=front,control,directory",
			"ip=" + f.host, "zone=" + p.zone, "region=" + p.region,
			"listen_addrs.front=" + at(0), "listen_addrs.ready=" + at(1), "listen_addrs.directory=" + at(2), "listen_addrs.control=" + at(3),
			fmt.Sprintf("internal_ports=%d,%d", port+4, port+12), "seed_nodes=" + strings.Join(seeds, ","), "bootstrap=true",
			"limits.cpu_share=0.224", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", kind.memoryMB), "limits.max_fds=2870", "limits.bandwidth_mbps=700.0",
			"discovery=platform", "entry=directory", "heartbeat_ms=1500",
			"contracts=" + kind.contracts,
			"contract_params.seed_lag_s=3", "contract_params.reuse_after_s=2", "contract_params.stability_window_ms=3000",
			"contract_params.ack_timeout_ms=4000", "contract_params.catch_up_s=4", "contract_params.drain_timeout_ms=2000",
			"contract_params.grace_period_s=6", "contract_params.loss_slack_ms=200", "contract_params.config_apply_ms=2000",
			"contract_params.rollback_slack_ms=250", "contract_params.outer_ms=5000", "contract_params.retry_budget_ratio=0.2",
			"contract_params.retry_window_s=10", "contract_params.retry_budget_slack=112", "contract_params.cold_load_factor=1.5",
			"contract_params.cold_slack=5", "contract_params.evacuate_ms=5000", "contract_params.recover_s=15",
			"contract_params.ttl_max_s=5", "contract_params.max_shift_fraction=0.15",
			"platform.address=" + storeAddress, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
			"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		}
		for zone, region := range zones {
			lines = append(lines, "zones."+zone+"="+region)
		}
		if err := os.WriteFile(f.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		if f.log, err = os.Create(filepath.Join(folder, f.name+".log")); err != nil {
			return nil, err
		}
		fronts = append(fronts, f)
	}
	return fronts, nil
}

// start starts the process with the command of the deploy file, in the repository root.
func (f *front) start(root string) error {
	f.command = exec.Command(filepath.Join(root, "target/endivechute"), "front", "--metrics-port", "9464")
	f.command.Dir = root
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVECHUTE_SETTINGS=" + f.settings}
	f.command.Stdout, f.command.Stderr = f.log, f.log
	f.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.command.Start(); err != nil {
		return err
	}
	command, ended := f.command, make(chan struct{})
	f.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (f *front) kill() {
	if f.command == nil {
		return
	}
	_ = f.command.Process.Kill()
	<-f.ended
	f.command = nil
}

// residentMB returns how much memory the process holds, in MB.
func (f *front) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return n / 1024
		}
	}
	return 0
}

var probeClient = &http.Client{Timeout: time.Second}

// isReady reports whether the process says that it is ready.
func (f *front) isReady() bool {
	r, err := probeClient.Get("http://" + net.JoinHostPort(f.host, strconv.Itoa(f.port+1)) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the process says that it is ready.
func (f *front) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", f.name, limit)
}
