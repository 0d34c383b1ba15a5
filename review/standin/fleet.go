package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const region = "oshana"

var zones = []string{"ondangwa", "oshakati", "ongwediva"}

// Bounds of the small installations, as their sheets give them.
const (
	contact = 4 * time.Second
	grace   = 6 * time.Second
	seedLag = 3 * time.Second
)

// ports are those of a VM, the same on all VMs.
type ports struct{ internal, control, directory, front, ready int }

// vm is one VM: a process of the product.
type vm struct {
	name, ip, zone string
	ports          ports
	seeds          []string
	fleet          *fleet

	command *exec.Cmd
	done    chan struct{}
	output  *os.File
}

// fleet runs the VMs of a case, and ends all that it started.
type fleet struct {
	rec       *record
	folder    string
	program   string
	network   string
	ports     ports
	storeAddr string
	vms       []*vm
}

// newFleet chooses loopback addresses and ports that are free.
func newFleet(rec *record, program, folder string) (*fleet, error) {
	f := &fleet{rec: rec, folder: folder, program: program}
	for try := range 200 {
		f.network = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		base := 20000 + (os.Getpid()*7+try*31)%10000
		f.ports = ports{internal: base, control: base + 20, directory: base + 21, front: base + 22, ready: base + 23}
		f.storeAddr = fmt.Sprintf("%s.200:%d", f.network, base+24)
		if f.free() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) free() bool {
	p := f.ports
	for host := 1; host <= 8; host++ {
		for _, port := range []int{p.internal, p.internal + 1, p.control, p.directory, p.front, p.ready, 9464} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", f.network, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) add(host int, zone string) *vm {
	m := &vm{
		name: fmt.Sprintf("front-%s-%d", zone, host), ip: fmt.Sprintf("%s.%d", f.network, host),
		zone: zone, ports: f.ports, fleet: f,
	}
	f.vms = append(f.vms, m)
	return m
}

func (m *vm) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *vm) front() string           { return m.address(m.ports.front) }
func (m *vm) control() string         { return m.address(m.ports.control) }
func (m *vm) directory() string       { return m.address(m.ports.directory) }
func (m *vm) settingsPath() string    { return filepath.Join(m.fleet.folder, m.name+".toml") }

// writeSettings writes the settings file in the platform's format.
func (m *vm) writeSettings(bootstrap bool) error {
	var zoneTable strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneTable, "%s = %q\n", z, region)
	}
	text := fmt.Sprintf(`node = %q
role = "vm"
class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = ["%s"]
bootstrap = %v
inFaultBudget = false
discovery = "platform"
entry = "directory"
beatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
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
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, m.name, m.ip, m.zone, region, m.ports.internal, m.ports.internal+15, strings.Join(m.seeds, `","`), bootstrap,
		zoneTable.String(), m.front(), m.address(m.ports.ready), m.control(), m.directory(), m.fleet.storeAddr)
	return os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

// start runs the command of the deploy file with the VM's settings file.
func (m *vm) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(m.fleet.program, "serve")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDDRIFT_BOOT=" + m.settingsPath()}
	m.command.Stdout, m.command.Stderr, m.output = output, output, output
	if err := m.command.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func() {
		err := m.command.Wait()
		m.fleet.rec.printf("VM %s: process %d ended: %v", m.name, m.command.Process.Pid, err)
		close(m.done)
	}()
	m.fleet.rec.printf("VM %s: process %d started, seeds %v", m.name, m.command.Process.Pid, m.seeds)
	return nil
}

func (m *vm) signal(s syscall.Signal) {
	m.fleet.rec.printf("VM %s: gets %s", m.name, s)
	_ = m.command.Process.Signal(s)
}

// ready reports whether the VM says that it is ready.
func (m *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(m.ports.ready) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func awaitReady(vms ...*vm) error {
	end := time.Now().Add(15 * time.Second)
	for _, m := range vms {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("VM %s is not ready after 15 s", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end kills the processes that still run.
func (f *fleet) end() {
	for _, m := range f.vms {
		if m.command == nil || m.command.Process == nil {
			continue
		}
		select {
		case <-m.done:
		default:
			_ = m.command.Process.Kill()
			<-m.done
		}
		_ = m.output.Close()
	}
}
