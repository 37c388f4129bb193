package lab

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

// HollowConfig configures a measurement of the cost of control. Hollow processes
// run the whole control code with real HTTP on loopback, without traffic.
type HollowConfig struct {
	Processes int
	Regions   int
	Zones     int // in all
	Services  int
	Interval  time.Duration // probe interval
	Quiet     time.Duration // time of the measurement at rest
	Churn     time.Duration // time of the measurement under churn, 0: none
	// ChurnEvery is the time between two restarts under churn.
	ChurnEvery time.Duration
	Edits      int // edits of the policy tree to time
	Deaths     int // crashes to time
	Entries    int // entries of the policy tree
	// StartPause is the time between two starts. All at once would need more
	// open files than one program may have.
	StartPause time.Duration
}

// Cost is what control costs one process.
type Cost struct {
	SentBytes     float64 `json:"sent_bytes_s"`
	ReceivedBytes float64 `json:"received_bytes_s"`
	Messages      float64 `json:"messages_s"`
	CPUShare      float64 `json:"cpu_percent_of_a_core"`
}

// HollowFigures are the measurements of one size.
type HollowFigures struct {
	Processes    int     `json:"processes"`
	StartSeconds float64 `json:"start_seconds"` // until all know each other
	Rest         Cost    `json:"at_rest"`
	Churn        Cost    `json:"under_churn"`
	ChurnRate    float64 `json:"churn_restarts_s"`
	MemoryKB     float64 `json:"memory_kb_each"`       // Go heap in use and stacks, over processes
	ResidentKB   float64 `json:"resident_kb_each"`     // of the program, over processes
	EditMedian   float64 `json:"edit_seconds_median"`  // accepted to in force everywhere
	EditWorst    float64 `json:"edit_seconds_worst"`   // of the edits made
	DeathMedian  float64 `json:"death_seconds_median"` // crash to known everywhere
	StoreRate    float64 `json:"store_requests_s"`     // at rest
	FalseRemoved int     `json:"false_removals"`
}

// hollowMesh is a mesh of hollow processes.
type hollowMesh struct {
	config    HollowConfig
	platform  *consul.Server
	server    *http.Server
	url       string
	store     *consulkv.Client
	mutex     sync.Mutex
	processes []*kernel.Process
	started   int
}

// MeasureHollow runs one size.
func MeasureHollow(ctx context.Context, config HollowConfig) (HollowFigures, error) {
	h := &hollowMesh{config: config, platform: consul.NewServer()}
	figures := HollowFigures{Processes: config.Processes}
	if err := h.start(ctx); err != nil {
		return figures, err
	}
	defer h.close()
	began := time.Now()
	for range config.Processes {
		if err := h.add(); err != nil {
			return figures, err
		}
		if err := h.wait(ctx, config.StartPause); err != nil {
			return figures, err
		}
	}
	if err := waitFor(ctx, "all processes to know each other", h.settled); err != nil {
		return figures, err
	}
	figures.StartSeconds = time.Since(began).Seconds()
	if err := h.wait(ctx, config.Quiet/2); err != nil { // the rumours of the start die down
		return figures, err
	}
	requests := h.platform.Requests()
	cost, err := h.measure(ctx, config.Quiet, func(context.Context) {})
	if err != nil {
		return figures, err
	}
	figures.Rest = cost
	figures.StoreRate = float64(h.platform.Requests()-requests) / config.Quiet.Seconds()
	figures.FalseRemoved = h.falselyRemoved()
	figures.MemoryKB, figures.ResidentKB = h.memory()
	if err := h.timeEdits(ctx, &figures); err != nil {
		return figures, err
	}
	if err := h.timeDeaths(ctx, &figures); err != nil || config.Churn == 0 {
		return figures, err
	}
	figures.ChurnRate = 1 / config.ChurnEvery.Seconds()
	figures.Churn, err = h.measure(ctx, config.Churn, h.churn)
	return figures, err
}

func (h *hollowMesh) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.url = "http://" + listener.Addr().String()
	h.server = &http.Server{Handler: h.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(listener) }()
	h.store = consulkv.NewClient(consulkv.Config{BaseURL: h.url})
	changes := []policy.Change{}
	for i := range max(h.config.Entries, 1) {
		changes = append(changes, policy.Change{Path: fmt.Sprintf("t/f/s%d GET /path/%d", i%16, i), Key: "deadline", Value: "2s"})
	}
	_, err = editor.New(h.store, "lab").Apply(ctx, changes)
	return err
}

// add starts a hollow process.
func (h *hollowMesh) add() error {
	h.mutex.Lock()
	number := h.started
	h.started++
	seeds := []string{}
	for i := 0; i < len(h.processes) && i < 3; i++ {
		seeds = append(seeds, h.processes[(number*7+i)%len(h.processes)].ControlAddress())
	}
	h.mutex.Unlock()
	s := settings.Default(settings.RoleNode)
	s.ID = fmt.Sprintf("h%d", number)
	s.Region = fmt.Sprintf("r%d", number%max(h.config.Regions, 1))
	s.Zone = fmt.Sprintf("z%d", number%max(h.config.Zones, 1))
	s.Service = fmt.Sprintf("s%d", number%max(h.config.Services, 1))
	s.Listen, s.Control, s.Backend = "127.0.0.1:0", "127.0.0.1:0", h.server.Addr
	s.Store, s.MachineList, s.Seeds = h.url, h.url, seeds
	s.ProbeInterval = settings.Duration(h.config.Interval)
	process, err := daemon.OpenHollow(s, event.Discard())
	if err != nil {
		return err
	}
	go func() { _ = process.Start(context.Background()) }()
	h.platform.Register(catalogRow(process))
	h.mutex.Lock()
	h.processes = append(h.processes, process)
	h.mutex.Unlock()
	return nil
}

func (h *hollowMesh) list() []*kernel.Process {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]*kernel.Process{}, h.processes...)
}

// settledInterval is the time between two looks at the whole mesh, which cost
// processor time that the mesh itself needs.
const settledInterval = 250 * time.Millisecond

// settled reports whether all processes know all others as alive.
func (h *hollowMesh) settled() bool {
	time.Sleep(settledInterval)
	processes := h.list()
	for _, process := range processes {
		alive := 0
		for _, member := range *process.Members.Load() {
			if member.Status == membership.Alive {
				alive++
			}
		}
		if alive != len(processes) || !process.Ready() {
			return false
		}
	}
	return true
}

func (h *hollowMesh) falselyRemoved() int {
	running := map[string]bool{}
	for _, process := range h.list() {
		running[process.ID] = true
	}
	count := 0
	for _, process := range h.list() {
		for _, member := range *process.Members.Load() {
			if running[member.ID] && member.Status == membership.Dead {
				count++
			}
		}
	}
	return count
}

func (h *hollowMesh) wait(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// counts is a reading of the counters of one process.
type counts struct {
	sent, received, messages int64
}

// readCounts reads the counters of all processes, by id.
func (h *hollowMesh) readCounts() map[string]counts {
	read := map[string]counts{}
	for _, process := range h.list() {
		read[process.ID] = counts{
			sent:     process.Counters.ControlSent.Load(),
			received: process.Counters.ControlReceived.Load(),
			messages: process.Counters.ControlMessages.Load(),
		}
	}
	return read
}

// processorTime returns the processor time that the program has used.
func processorTime() time.Duration {
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err != nil {
		return 0
	}
	return time.Duration(times.Utime.Nano() + times.Stime.Nano())
}

// measure reads the counters over a span in which run is going on. Bytes and
// messages are those of the processes that ran all the time. The processor time
// is that of the whole program, the stand-in of the platform included.
func (h *hollowMesh) measure(ctx context.Context, span time.Duration, run func(context.Context)) (Cost, error) {
	during, stop := context.WithTimeout(ctx, span)
	defer stop()
	before, processorBefore := h.readCounts(), processorTime()
	began := time.Now()
	go run(during)
	if err := h.wait(ctx, span); err != nil {
		return Cost{}, err
	}
	after, processor, taken := h.readCounts(), processorTime()-processorBefore, time.Since(began).Seconds()
	var cost Cost
	stayed := math.SmallestNonzeroFloat64 // no division by zero when all were replaced
	for id, first := range before {
		last, exists := after[id]
		if !exists {
			continue
		}
		stayed++
		cost.SentBytes += float64(last.sent - first.sent)
		cost.ReceivedBytes += float64(last.received - first.received)
		cost.Messages += float64(last.messages - first.messages)
	}
	cost.SentBytes /= taken * stayed
	cost.ReceivedBytes /= taken * stayed
	cost.Messages /= taken * stayed
	cost.CPUShare = 100 * processor.Seconds() / taken / float64(len(h.list()))
	return cost, nil
}

// churn replaces one process after the other: half of them leave in order, half
// are killed.
func (h *hollowMesh) churn(ctx context.Context) {
	for i := 0; ; i++ {
		if h.wait(ctx, h.config.ChurnEvery) != nil {
			return
		}
		h.mutex.Lock()
		old := h.processes[0]
		h.mutex.Unlock()
		if i%2 == 0 {
			old.Kill()
		} else {
			go func() { _ = old.Stop(context.Background()) }()
		}
		h.platform.Deregister(old.ID)
		if h.add() != nil {
			return
		}
		h.mutex.Lock()
		h.processes = h.processes[1:]
		h.mutex.Unlock()
	}
}

// memory returns the Go memory and the resident memory of the program, divided
// by the number of processes.
func (h *hollowMesh) memory() (goKB, residentKB float64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	count := float64(len(h.list()))
	goKB = float64(stats.HeapInuse+stats.StackInuse) / 1024 / count
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return goKB, 0
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return goKB, 0
	}
	return goKB, pages * float64(os.Getpagesize()) / 1024 / count
}

// timeEdits times edits from acceptance until they are in force everywhere.
func (h *hollowMesh) timeEdits(ctx context.Context, figures *HollowFigures) error {
	times := []float64{}
	for i := range h.config.Edits {
		document, err := editor.New(h.store, "lab").Apply(ctx, []policy.Change{{Path: "t", Key: "retry_budget", Value: strconv.Itoa(i % 5)}})
		if err != nil {
			return err
		}
		accepted := time.Now()
		err = waitFor(ctx, "an edit to be in force", func() bool {
			for _, process := range h.list() {
				if process.Documents.Revisions().Policy < document.Revision {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		times = append(times, time.Since(accepted).Seconds())
		if err := h.wait(ctx, h.config.Interval); err != nil {
			return err
		}
	}
	figures.EditMedian = median(times)
	for _, taken := range times {
		figures.EditWorst = max(figures.EditWorst, taken)
	}
	return nil
}

// timeDeaths times crashes until all others know.
func (h *hollowMesh) timeDeaths(ctx context.Context, figures *HollowFigures) error {
	times := []float64{}
	for range h.config.Deaths {
		h.mutex.Lock()
		victim := h.processes[len(h.processes)-1]
		h.processes = h.processes[:len(h.processes)-1]
		h.mutex.Unlock()
		victim.Kill()
		died := time.Now()
		err := waitFor(ctx, "a death to be known", func() bool {
			time.Sleep(settledInterval)
			for _, process := range h.list() {
				for _, member := range *process.Members.Load() {
					if member.ID == victim.ID && member.Status != membership.Dead {
						return false
					}
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		times = append(times, time.Since(died).Seconds())
	}
	figures.DeathMedian = median(times)
	return nil
}

func (h *hollowMesh) close() {
	for _, process := range h.list() {
		process.Kill()
	}
	_ = h.server.Close()
	h.store.Close()
}
