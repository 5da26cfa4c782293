package simulator

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
)

// tight are workers under which cancel_s leaves little more than the rule's inequality needs: what outlives it is seen.
var tight = config.Workers{HeartbeatIntervalS: 0.5, LeaseS: 6, GangWaitS: 10, GangPeerS: 2, CancelS: 11.5}

// meeting is one run of the search: faults of a script that overlap, over jobs that are submitted, cancelled and asked
// about throughout. The same meeting gives the same run.
type meeting struct {
	seed   uint64
	jobs   int
	script []string
}

func (m meeting) String() string {
	return fmt.Sprintf("HAREWALK_MEETING='%d|%d|%s'", m.seed, m.jobs, strings.Join(m.script, "|"))
}

// parseMeeting reads what String wrote.
func parseMeeting(s string) (m meeting, err error) {
	fs := strings.Split(s, "|")
	if len(fs) < 2 {
		return m, fmt.Errorf("%q is no meeting", s)
	}
	if m.seed, err = strconv.ParseUint(fs[0], 10, 64); err == nil {
		m.jobs, err = strconv.Atoi(fs[1])
	}
	m.script = fs[2:]
	return m, err
}

// drawMeeting lets two faults meet: the second begins before, at or after the first's beginning or end, by about a hold, a
// lease, cancel_s or a step of a takeover, and lasts about as long as one of them.
func drawMeeting(a, b string, seed uint64) meeting {
	rng := rand.New(rand.NewPCG(seed, uint64(len(a))<<8|uint64(len(b))))
	scale := []float64{0.1, 0.5, 2, 2.5, tight.LeaseS, tight.CancelS, tight.CancelS * 1.25}
	draw := func() time.Duration {
		return seconds(scale[rng.IntN(len(scale))] * (0.8 + 0.4*rng.Float64())).Truncate(time.Millisecond)
	}
	line := func(at time.Duration, word string, duration time.Duration) string {
		if word == "flap-zone" {
			duration /= 2 * flaps // it lasts that many times as long as it is told
		}
		s := at.String() + " " + word
		for _, arg := range faults[word].args {
			switch arg {
			case 'n':
				s += " " + strconv.Itoa(rng.IntN(3))
			case 'c':
				s += " " + strconv.Itoa(1+rng.IntN(8))
			case 'z':
				s += " " + []string{"a", "b", "c"}[rng.IntN(3)]
			default:
				s += " " + max(50*time.Millisecond, duration).String()
			}
		}
		return s
	}
	first, long := 12*time.Second, draw()
	second := first + []time.Duration{0, long}[rng.IntN(2)] + time.Duration(rng.IntN(3)-1)*draw()
	return meeting{seed, 40, []string{line(first, a, long), line(max(4*time.Second, second), b, draw())}}
}

// play plays a meeting and tells what went wrong, and how long the cancelled stayed at most.
func (m meeting) play() (wrong []string, longest time.Duration) {
	types := []capacity.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, Mem: 128, CacheGB: 100, FetchGB: 10, Price: 4, Spot: 1.5, BootS: 3, Zones: []string{"a", "b", "c"}}}
	w, err := Simulated(Config{
		Seed: m.seed, Machines: 10, Types: types, Controllers: 3, Zones: []string{"a", "b", "c"}, Step: 50 * time.Millisecond, Workers: tight, Uneven: true,
		Pools: map[string]int{"transcribe": 12}, State: config.State{RPS: 400, WriteRPS: 60, ValueKB: 8, TxnOps: 24},
		Teams: []config.Team{{Name: "red", CPUs: 20, CPUsMax: 60}, {Name: "blue", CPUs: 20, CPUsMax: 100}},
	},
		func(settings *config.Settings) error {
			return settings.ReadOperator("o.hcl", []byte(chaosPools))
		})
	if err != nil {
		return []string{err.Error()}, 0
	}
	script, err := ParseScript(strings.NewReader(strings.Join(m.script, "\n")))
	if err != nil {
		return []string{err.Error()}, 0
	}
	w.Play(script, func(Fault) {})
	a := w.Balance().Watchers()
	rng := rand.New(rand.NewPCG(m.seed, 51))
	var users []*simUser
	for i := range m.jobs {
		spec := drawJob(rng, i+1)
		spec.EstimateS = 2 + 18*rng.Float64()
		spec.Tasks = min(spec.Tasks, 4)
		u := &simUser{w: w, rng: rand.New(rand.NewPCG(m.seed, uint64(100+i))), spec: spec}
		users = append(users, u)
		at := time.Duration(3000+rng.IntN(30000)) * time.Millisecond
		w.After(at, u.submit)
		if rng.IntN(5) < 2 {
			w.After(at+time.Duration(rng.IntN(20000))*time.Millisecond, u.cancel)
		}
		var follow func()
		follow = func() {
			if u.status == 200 || u.status == 201 {
				a.Follow(spec.ID, nil)
				return
			}
			w.After(time.Second, follow)
		}
		w.After(at, follow)
	}
	w.watchActing()
	// The last trouble has ended by then.
	healed := 12*time.Second + 4*seconds(tight.CancelS*1.5)
	w.Advance(healed)
	for i := range w.Controllers() {
		w.StartController(i)
	}
	for end := w.Now() + 3*time.Minute; w.Now() < end; w.Advance(2 * time.Second) {
		if !slices.ContainsFunc(users, func(u *simUser) bool { return len(u.told) < 4 }) {
			break
		}
	}
	wrong = w.Broken()
	for _, u := range users {
		if len(u.told) == 0 {
			wrong = append(wrong, fmt.Sprintf("%s is not over (status %d)", u.spec.ID, u.status))
		}
	}
	for _, n := range w.nodes() {
		if w.Key("h/c/n/"+n).Version == 0 {
			wrong = append(wrong, n+" is there and has no member key")
		}
	}
	if gap, job := a.Longest(healed, w.Now()); gap >= 75*time.Second {
		wrong = append(wrong, fmt.Sprintf("no question about %s was answered for %v", job, gap))
	}
	return wrong, w.Stats().LongestCancelled
}

// shorten finds a smaller meeting that fails as well: with one fault, with fewer jobs.
func (m meeting) shorten() meeting {
	fails := func(n meeting) bool { wrong, _ := n.play(); return len(wrong) > 0 }
	for i := range m.script {
		if n := (meeting{m.seed, m.jobs, slices.Delete(slices.Clone(m.script), i, i+1)}); fails(n) {
			return n.shorten()
		}
	}
	for _, jobs := range []int{m.jobs / 4, m.jobs / 2, m.jobs * 3 / 4} {
		if n := (meeting{m.seed, jobs, m.script}); jobs > 0 && fails(n) {
			return n.shorten()
		}
	}
	return m
}

// Every fault of the script meets every other: no rule breaks, every job comes to its end, and none's questions go
// unanswered afterwards. At length all pairs with 20 seeds each; otherwise a fixed share of the pairs. A
// failing meeting is shortened, and HAREWALK_MEETING plays it again.
func TestPairsOfTroubles(t *testing.T) {
	if s := os.Getenv("HAREWALK_MEETING"); s != "" {
		m, err := parseMeeting(s)
		if err != nil {
			t.Fatal(err)
		}
		wrong, longest := m.play()
		t.Logf("%v: cancelled tasks stayed %v at most", m, longest)
		for _, w := range wrong {
			t.Error(w)
		}
		return
	}
	words := make([]string, 0, len(faults))
	for name := range faults {
		words = append(words, name)
	}
	slices.Sort(words)
	seeds, share, first := 1, 12, 0
	if s := os.Getenv("HAREWALK_PAIRS"); s != "" {
		seeds, _ = strconv.Atoi(s)
		share = 1
	}
	if s := os.Getenv("HAREWALK_PAIRS_FROM"); s != "" {
		first, _ = strconv.Atoi(s)
	}
	var ms []meeting
	n := 0
	for i, a := range words {
		for _, b := range words[i:] {
			for k := range seeds {
				if n++; n%share == 0 {
					ms = append(ms, drawMeeting(a, b, uint64(1000*n+first+k)))
				}
			}
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	longest, failed := time.Duration(0), 0
	work := make(chan meeting)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for m := range work {
				wrong, stayed := m.play()
				mu.Lock()
				longest = max(longest, stayed)
				if len(wrong) > 0 {
					failed++
					t.Errorf("%v: %s", m, strings.Join(wrong[:min(3, len(wrong))], "; "))
				}
				short := len(wrong) > 0 && failed <= 3
				mu.Unlock()
				if short {
					s := m.shorten()
					t.Logf("%v, shortened: %v", m, s)
				}
			}
		})
	}
	for _, m := range ms {
		work <- m
	}
	close(work)
	wait.Wait()
	t.Logf("%d meetings of %d words, %d failed; cancelled tasks stayed %v at most, of %v", len(ms), len(words), failed, longest, seconds(tight.CancelS))
	if len(ms) < 40 || longest == 0 {
		t.Error("hardly anything met")
	}
}
