package bed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines. They are the same on all of them.
const (
	controlPort   = 8224
	directoryPort = 8225
	frontPort     = 8226
	readyPort     = 8227
	internalPort  = 7740
	storePort     = 8229
)

// MemoryMB is the memory of a machine. With MaxFds it is that of the machines of the site
// omhu-search.
const (
	MemoryMB = 284
	MaxFds   = 4100
)

// Bed is a small deployment.
type Bed struct {
	Record   *Record
	Store    *Store
	Machines []*Machine
	Backends []*Backend

	// network holds the first three numbers of all addresses.
	network      string
	program      string
	folder       string
	backendCount int

	mu   sync.Mutex
	runs map[string]int
	// LogRuns is set if each run is written to the record.
	LogRuns bool
}

// Machine is one machine of the deployment, and its process.
type Machine struct {
	Name, IP, Zone string

	bed      *Bed
	settings string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	// ends counts the ends of processes that nobody asked for.
	ends int
	// peakKB is the most memory that a process has had.
	peakKB int64
	// overLimit counts the processes that were killed for their memory.
	overLimit int
}

// New returns a bed with a store and no machines. The program is run as the deploy file
// says, from the repository's root, which is the working directory.
func New(record *Record) (*Bed, error) {
	program, err := filepath.Abs("target/almonddrift")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	b := &Bed{Record: record, program: program, folder: folder, runs: make(map[string]int)}
	for range 50 {
		b.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if b.Store, err = NewStore(fmt.Sprintf("%s.250:%d", b.network, storePort)); err == nil {
			record.Say("all addresses are %s.*", b.network)
			return b, nil
		}
	}
	return nil, err
}

// StartMachines starts machines, one after the other in the zones.
func (b *Bed) StartMachines(count int, zones ...string) error {
	for i := range count {
		b.Machines = append(b.Machines, &Machine{
			Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), IP: fmt.Sprintf("%s.%d", b.network, 10+i), Zone: zones[i%len(zones)], bed: b,
		})
	}
	for _, m := range b.Machines {
		if err := m.writeSettings(); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		go m.watchMemory()
	}
	return nil
}

func (m *Machine) writeSettings() error {
	var seeds []string
	for _, other := range m.bed.Machines[:min(3, len(m.bed.Machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.IP, controlPort)))
	}
	zones := make(map[string]bool)
	for _, other := range m.bed.Machines {
		zones[other.Zone] = true
	}
	var zoneLines strings.Builder
	for zone := range zones {
		fmt.Fprintf(&zoneLines, "%s = \"oshana\"\n", zone)
	}
	text := fmt.Sprintf(`node = %q
role = "vm"
class = "front"
serves = ["front", "control", "directory"]
ip = %q
zone = %q
region = "oshana"
internalPorts = [%d, %d]
seeds = [%s]
bootstrap = true
inFaultBudget = true
discovery = "platform"
entry = "directory"
beatIntervalMs = %d
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"]
[zones]
%s[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
directory = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
coldBurstFactor = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
[platform]
address = "%s.250:%d"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, m.Name, m.IP, m.Zone, internalPort, internalPort+15, strings.Join(seeds, ", "), beatPeriod.Milliseconds(), zoneLines.String(),
		m.IP, frontPort, m.IP, readyPort, m.IP, controlPort, m.IP, directoryPort, MemoryMB, MaxFds, m.bed.network, storePort)
	m.settings = filepath.Join(m.bed.folder, m.Name+".toml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// start starts the process, and again whenever it ends, as the platform does.
func (m *Machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.bed.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.bed.program, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ALMONDDRIFT_BOOT=" + m.settings}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.bed.Record.Log("%s: process %d started", m.Name, command.Process.Pid)
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		m.mu.Lock()
		stopped := m.stopped
		if !stopped {
			m.ends++
		}
		m.mu.Unlock()
		m.bed.Record.Log("%s: process %d ended: %v", m.Name, command.Process.Pid, err)
		close(ended)
		if !stopped {
			time.Sleep(restartDelay)
			if err := m.start(); err != nil {
				m.bed.Record.Log("%s: %v", m.Name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills a process that has more memory than its machine, as the platform does.
func (m *Machine) watchMemory() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		process, stopped := m.process, m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		kb := residentKB(process.Process.Pid)
		m.mu.Lock()
		m.peakKB = max(m.peakKB, kb)
		over := kb > MemoryMB*1024 && process == m.process
		if over {
			m.overLimit++
		}
		m.mu.Unlock()
		if over {
			m.bed.Record.Say("%s: process %d has %d MB of %d MB: killed by the platform", m.Name, process.Process.Pid, kb/1024, MemoryMB)
			_ = process.Process.Kill()
			select {
			case <-m.endedChannel():
			case <-time.After(2 * time.Second):
			}
			time.Sleep(2 * restartDelay)
		}
	}
}

func (m *Machine) endedChannel() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// residentKB returns the memory that a process has, 0 if it has ended.
func residentKB(pid int) (kb int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// Memory returns the most memory that a process of the machine has had, in MB, and how
// often one was killed for its memory.
func (m *Machine) Memory() (peakMB int64, killed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakKB / 1024, m.overLimit
}

// Ends returns how many processes of the machine have ended by themselves or for their
// memory.
func (m *Machine) Ends() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// Front is the address for clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// Ready asks whether the machine is ready, as the platform does.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.IP, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Resolve asks the directory of the machine where to connect.
func (m *Machine) Resolve(host string) (addresses []string, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {"oshana"}, "zone": {m.Zone}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/resolve?%s", m.IP, directoryPort, query.Encode()))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addresses, err
}

// AwaitReady waits until all machines are ready and the directories name as many
// addresses.
func (b *Bed) AwaitReady(host string, addresses int) error {
	end := time.Now().Add(15 * time.Second)
	for _, m := range b.Machines {
		for {
			named, err := m.Resolve(host)
			if err == nil && m.Ready() && len(named) >= addresses {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %d addresses, %v", m.Name, len(named), err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// noteRun records that a backend ran a request.
func (b *Bed) noteRun(id string, e *Backend, r *http.Request, bodyBytes int) {
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	if b.LogRuns {
		b.Record.Log("run: %s at %s of %s: %s %s, body of %d bytes", id, e.ID, e.Service, r.Method, r.URL.RequestURI(), bodyBytes)
	}
}

// Runs returns how often a request ran.
func (b *Bed) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Close ends all processes and removes the temporary folder.
func (b *Bed) Close() {
	for _, m := range b.Machines {
		m.mu.Lock()
		m.stopped = true
		process, ended := m.process, m.ended
		m.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// Listening reports whether something accepts connections at the address.
func Listening(address string) bool {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}
