package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/simulator"
)

// dev is what `harewalk dev` was asked for.
type dev struct {
	machines, controllers  int
	zones                  []string
	seed                   uint64
	speed                  float64
	script, operator, logs string
}

func devCmd() *cobra.Command {
	var d dev
	c := &cobra.Command{
		Use: "dev", Short: "Run a whole cluster in this process, to try things out", Args: cobra.NoArgs,
		Long: "Run a cluster that needs nothing else: controllers, and a stand-in state service, cloud, workers and licence\n" +
			"server, all in this process and on loopback addresses only. Machines are not real and tasks only wait; what is\n" +
			"decided is. Ctrl-C ends it.\n\n" +
			"A script has one fault a line, with its time: \"30s outage 5s\". Faults: " + strings.Join(simulator.FaultWords(), ", ") + ".",
		Example: "  harewalk dev\n  harewalk dev --machines 50 --zones a,b,c --speed 4 --script faults.txt --operator deploy/licences.hcl",
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return d.run(ctx, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	f := c.Flags()
	f.IntVar(&d.machines, "machines", 20, "most machines that the cloud gives out")
	f.IntVar(&d.controllers, "controllers", 3, "how many controllers")
	f.StringSliceVar(&d.zones, "zones", []string{"a", "b"}, "zones")
	f.Uint64Var(&d.seed, "seed", 1, "seed of boot and run times and of faults")
	f.Float64Var(&d.speed, "speed", 1, "how many times faster tasks run than estimated")
	f.StringVar(&d.script, "script", "", "file with faults to play")
	f.StringVar(&d.operator, "operator", "", "the operators' settings, an HCL file")
	f.StringVar(&d.logs, "log-level", "error", "what the controllers log: error, info or debug")
	return c
}

// maxDevMachines bounds the machines of a cluster in one process: a larger number is a slip of the hand.
const maxDevMachines = 8192

func (d *dev) check() error {
	switch {
	case d.machines < 1 || d.machines > maxDevMachines:
		return fmt.Errorf("--machines %d: 1 to %d", d.machines, maxDevMachines)
	case d.controllers < 1 || d.controllers > 9:
		return fmt.Errorf("--controllers %d: 1 to 9", d.controllers)
	case !(d.speed > 0 && d.speed <= 1000):
		return fmt.Errorf("--speed %g: more than 0, at most 1000", d.speed)
	case len(d.zones) == 0 || d.zones[0] == "":
		return errors.New("--zones names no zone")
	}
	return nil
}

// run plays the cluster until the context ends.
func (d *dev) run(ctx context.Context, out, errs io.Writer) error {
	if err := d.check(); err != nil {
		return coded{exitUsage, err}
	}
	if err := logTo(errs, d.logs); err != nil {
		return coded{exitUsage, err}
	}
	var script []simulator.Fault
	if d.script != "" {
		f, err := os.Open(d.script)
		if err != nil {
			return coded{exitUsage, fmt.Errorf("--script: %w", err)}
		}
		defer func() { _ = f.Close() }()
		if script, err = simulator.ParseScript(f); err != nil {
			return coded{exitUsage, fmt.Errorf("--script %s: %w", d.script, err)}
		}
		for _, f := range script {
			if f.VirtualTimeOnly {
				return coded{exitUsage, fmt.Errorf("--script %s: %q is for `harewalk lab` only: here the controllers share one process", d.script, f.Text)}
			}
		}
	}
	sim, err := simulator.NewRealTime(simulator.Config{
		Seed: d.seed, Controllers: d.controllers, Zones: d.zones, MaxMachines: d.machines, Speed: d.speed,
		Types: []capacity.MachineType{
			{Name: "small", CPUs: 8, Mem: 32, CacheGB: 50, FetchGB: 2, Price: 0.4, Spot: 0.15, BootS: 3, Zones: d.zones},
			{Name: "gpu", CPUs: 32, GPUs: 4, Mem: 256, CacheGB: 200, FetchGB: 2, Price: 10, Spot: 4.5, BootS: 4, Zones: d.zones},
		},
		Teams: []config.Team{{Name: "vision", CPUs: 64, GPUs: 8, GPUsMax: 16}, {Name: "audio", CPUs: 32, CPUsMax: 256}},
	})
	if err != nil {
		return coded{exitFailed, err}
	}
	defer sim.Close()
	fail := make(chan error, d.controllers)
	for i := range d.controllers {
		settings, err := d.settings(sim, i)
		if err != nil {
			return coded{exitUsage, err}
		}
		go func() { fail <- controller.New(settings).Run() }()
	}
	if err := awaitReady(ctx, sim, d.controllers); err != nil {
		return coded{exitFailed, err}
	}
	d.welcome(out, sim)
	sim.Play(script, func(f simulator.Fault) { fmt.Fprintf(errs, "fault at %v: %s\n", f.After, f.Text) })
	select {
	case err := <-fail:
		return coded{exitFailed, err}
	case <-ctx.Done():
	}
	if broken := sim.Violations(); len(broken) > 0 {
		return coded{exitFailed, fmt.Errorf("%d rules did not hold; the first: %s", len(broken), broken[0])}
	}
	fmt.Fprintln(out, "ended")
	return nil
}

// settings are a controller's: the simulator's, with the operators' own on top.
func (d *dev) settings(sim *simulator.Simulation, i int) (*config.Settings, error) {
	settings, err := config.Parse(sim.SettingsJSON(i))
	if err == nil && d.operator != "" {
		err = settings.LoadOperator(d.operator)
	}
	return settings, err
}

func awaitReady(ctx context.Context, sim *simulator.Simulation, controllers int) error {
	for i := range controllers {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if status, _, _, err := once("GET", "http://"+sim.UserAddr(i)+"/up", nil); err == nil && status == 200 {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return fmt.Errorf("controller %d is not ready", i)
			}
		}
	}
	return nil
}

// sample is a job to begin with.
var sample = map[string]any{
	"name_id": "req-000001", "breed": "train", "warren": "vision", "gait": "sweep", "urgency": "standard", "hops": 16,
	"cpus": 1.0, "accelerators": 0.0, "memory_gb": 2.0, "pelt": "img-07", "size_gb": 1.5, "builds": nil, "meadow": nil,
	"same_place": false, "apart": false, "stray": true, "stride_s": 20.0, "rest_s": 0.0, "stash_s": 0.0, "dusk_s": nil,
}

func (d *dev) welcome(out io.Writer, sim *simulator.Simulation) {
	raw, _ := json.Marshal(sample)
	fmt.Fprintf(out, "A cluster of %d controllers runs here, with a stand-in cloud of up to %d machines in zones %s.\n\n", d.controllers, d.machines, strings.Join(d.zones, ", "))
	for i := range d.controllers {
		fmt.Fprintf(out, "  controller %d   %s\n", i, sim.UserAddr(i))
	}
	fmt.Fprintf(out, "  licence server %s\n\nTry, in another terminal:\n\n", sim.Licences.Addr)
	fmt.Fprintf(out, "  echo '%s' > job.json\n\n", raw)
	fmt.Fprintf(out, "  harewalk job submit job.json --server %s\n  harewalk job get req-000001 --server %s\n  harewalk job cancel req-000001 --server %s\n",
		sim.UserAddr(0), sim.UserAddr(1), sim.UserAddr(2))
	if d.operator != "" {
		fmt.Fprintf(out, "  harewalk licence list --server %s\n  harewalk session list --server %s\n", sim.UserAddr(0), sim.UserAddr(0))
	}
	fmt.Fprintf(out, "\nCtrl-C ends it.\n")
}
