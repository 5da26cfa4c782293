package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
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

const (
	// maxDevMachines bounds the machines of a cluster in one process. A larger number is taken for a typing error.
	maxDevMachines    = 8192
	maxDevControllers = 9
	maxDevSpeed       = 1000

	// devStartLimit bounds how long each controller may take until it is ready.
	devStartLimit = 20 * time.Second
	devStartPoll  = 50 * time.Millisecond
)

// sampleJob is the first job in the instructions that `harewalk dev` prints.
const sampleJob = `{"accelerators":0,"apart":false,"breed":"train","builds":null,"cpus":1,"dusk_s":null,` +
	`"gait":"sweep","hops":16,"meadow":null,"memory_gb":2,"name_id":"req-000001","pelt":"img-07","rest_s":0,` +
	`"same_place":false,"size_gb":1.5,"stash_s":0,"stray":true,"stride_s":20,"urgency":"standard","warren":"vision"}`

// sampleSuccessor is a job that starts once sampleJob is done: the second stage of a pipeline. Only this stage has a
// deadline.
const sampleSuccessor = `{"accelerators":0,"apart":false,"breed":"train","builds":null,"cpus":1,"dusk_s":600,` +
	`"follows":["req-000001"],"gait":"gang","hops":2,"meadow":null,"memory_gb":2,"name_id":"req-000002",` +
	`"pelt":"img-07","rest_s":0,"same_place":true,"size_gb":1.5,"stash_s":0,"stray":true,"stride_s":10,` +
	`"urgency":"urgent","warren":"vision"}`

// devCluster holds the flags of `harewalk dev`, which runs a simulated cluster in this process, in real time.
type devCluster struct {
	machines     int
	controllers  int
	zones        []string
	seed         uint64
	speed        float64
	scriptFile   string
	operatorFile string
	logLevel     string
}

func devCmd() *cobra.Command {
	var cluster devCluster
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole simulated cluster in this process, to try out commands",
		Args:  cobra.NoArgs,
		Long: "Run a cluster without external services: real controllers with a simulated state service, cloud, " +
			"workers and licence\n" +
			"server, all in this process and on loopback addresses only. The scheduling decisions are real. The " +
			"machines are\n" +
			"simulated, and a task only waits for its run time. Press Ctrl-C to stop the cluster.\n\n" +
			"A script has one fault per line, with its time first: \"30s outage 5s\". Faults: " +
			strings.Join(simulator.FaultUsages(), ", ") + ".",
		Example: "  harewalk dev\n" +
			"  harewalk dev --machines 50 --zones a,b,c --speed 4 --script faults.txt --operator deploy/licences.hcl",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return cluster.run(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&cluster.machines, "machines", 20, "maximum number of machines that the cloud rents out")
	flags.IntVar(&cluster.controllers, "controllers", 3, "number of controllers")
	flags.StringSliceVar(&cluster.zones, "zones", []string{"a", "b"}, "names of the zones")
	flags.Uint64Var(&cluster.seed, "seed", 1, "random seed for boot times, run times and faults")
	flags.Float64Var(&cluster.speed, "speed", 1, "factor by which tasks run faster than their estimate")
	flags.StringVar(&cluster.scriptFile, "script", "", "file with the faults to inject")
	flags.StringVar(&cluster.operatorFile, "operator", "", "HCL file with the operators' settings")
	flags.StringVar(&cluster.logLevel, "log-level", "error", "log level of the controllers: error, info or debug")
	return cmd
}

// check returns an error for the first flag whose value is out of range.
func (d *devCluster) check() error {
	isSpeedValid := d.speed > 0 && d.speed <= maxDevSpeed // false for NaN
	switch {
	case d.machines < 1 || d.machines > maxDevMachines:
		return &boundsError{"--machines", d.machines, fmt.Sprintf("1 to %d", maxDevMachines)}
	case d.controllers < 1 || d.controllers > maxDevControllers:
		return &boundsError{"--controllers", d.controllers, fmt.Sprintf("1 to %d", maxDevControllers)}
	case !isSpeedValid:
		return &boundsError{"--speed", d.speed, fmt.Sprintf("more than 0, at most %d", maxDevSpeed)}
	case len(d.zones) == 0 || d.zones[0] == "":
		return errNoZones
	}
	return nil
}

// run runs the cluster until the context is cancelled or a controller fails. A broken protocol rule is an error.
func (d *devCluster) run(ctx context.Context, out, errOut io.Writer) error {
	if err := d.check(); err != nil {
		return usageError(err)
	}
	if err := configureLogging(errOut, d.logLevel); err != nil {
		return usageError(err)
	}
	script, err := d.readScript()
	if err != nil {
		return usageError(err)
	}
	sim, err := simulator.NewRealTime(d.simulation())
	if err != nil {
		return failure(err)
	}
	defer sim.Close()
	controllerErrors, err := d.startControllers(sim)
	if err != nil {
		return usageError(err)
	}
	if err := d.awaitReady(ctx, sim); err != nil {
		return failure(err)
	}
	d.writeInstructions(out, sim)
	sim.Play(script, func(fault simulator.Fault) {
		fmt.Fprintf(errOut, "fault at %v: %s\n", fault.After, fault.Text)
	})
	select {
	case err := <-controllerErrors:
		return failure(err)
	case <-ctx.Done():
	}
	if violations := sim.Violations(); len(violations) > 0 {
		return failure(fmt.Errorf("%d %w; the first: %s", len(violations), errRulesBroken, violations[0]))
	}
	fmt.Fprintln(out, "ended")
	return nil
}

// readScript reads the faults of the --script file; without a file it returns nil.
func (d *devCluster) readScript() ([]simulator.Fault, error) {
	if d.scriptFile == "" {
		return nil, nil
	}
	file, err := os.Open(d.scriptFile)
	if err != nil {
		return nil, fmt.Errorf("--script: %w", err)
	}
	defer func() { _ = file.Close() }()
	script, err := simulator.ParseScript(file)
	if err != nil {
		return nil, fmt.Errorf("--script %s: %w", d.scriptFile, err)
	}
	for _, fault := range script {
		if fault.VirtualTimeOnly {
			return nil, fmt.Errorf("--script %s: %q %w", d.scriptFile, fault.Text, errVirtualTimeOnly)
		}
	}
	return script, nil
}

func (d *devCluster) simulation() simulator.Config {
	small := capacity.MachineType{
		Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 2,
		OnDemandPrice: 0.4, SpotPrice: 0.15, BootS: 3, Zones: d.zones,
	}
	gpu := capacity.MachineType{
		Name: "gpu", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 200, FetchGBPerS: 2,
		OnDemandPrice: 10, SpotPrice: 4.5, BootS: 4, Zones: d.zones,
	}
	return simulator.Config{
		Seed:        d.seed,
		Controllers: d.controllers,
		Zones:       d.zones,
		MaxMachines: d.machines,
		Speed:       d.speed,
		Types:       []capacity.MachineType{small, gpu},
		Teams: []config.Team{
			{Name: "vision", CPUs: 64, GPUs: 8, GPUsMax: 16},
			{Name: "audio", CPUs: 32, CPUsMax: 256},
		},
	}
}

// startControllers starts each controller in a goroutine and returns the channel of the errors that end them. The
// goroutines run until the process ends.
func (d *devCluster) startControllers(sim *simulator.Simulation) (<-chan error, error) {
	controllerErrors := make(chan error, d.controllers)
	for index := range d.controllers {
		settings, err := d.settings(sim, index)
		if err != nil {
			return nil, err
		}
		go func() { controllerErrors <- controller.New(settings).Run() }()
	}
	return controllerErrors, nil
}

// settings returns a controller's settings. Those of the --operator file override those of the simulation.
func (d *devCluster) settings(sim *simulator.Simulation, index int) (*config.Settings, error) {
	settings, err := config.Parse(sim.SettingsJSON(index))
	if err == nil && d.operatorFile != "" {
		err = settings.LoadOperator(d.operatorFile)
	}
	return settings, err
}

func (d *devCluster) awaitReady(ctx context.Context, sim *simulator.Simulation) error {
	for index := range d.controllers {
		deadline := time.Now().Add(devStartLimit)
		for !isReady(sim.UserAddr(index)) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("controller %d %w", index, errNotReady)
			}
			time.Sleep(devStartPoll)
		}
	}
	return nil
}

func isReady(address string) bool {
	resp, err := sendPlain(http.MethodGet, "http://"+address+"/up", nil)
	return err == nil && resp.status == http.StatusOK
}

// writeInstructions prints the cluster's addresses and the commands to begin with.
func (d *devCluster) writeInstructions(out io.Writer, sim *simulator.Simulation) {
	fmt.Fprintf(out, "A cluster of %d controllers is running, ", d.controllers)
	fmt.Fprintf(out, "with a simulated cloud of up to %d machines in zones %s.\n\n",
		d.machines, strings.Join(d.zones, ", "))
	for index := range d.controllers {
		fmt.Fprintf(out, "  controller %d   %s\n", index, sim.UserAddr(index))
	}
	fmt.Fprintf(out, "  licence server %s\n\nRun these commands in another terminal:\n\n", sim.Licences.Addr)
	fmt.Fprintf(out, "  echo '%s' > job.json\n\n", sampleJob)
	fmt.Fprintf(out, "  echo '%s' > next.json\n\n", sampleSuccessor)
	fmt.Fprintf(out, "  harewalk job submit job.json --server %s\n", sim.UserAddr(0))
	fmt.Fprintf(out, "  harewalk job submit next.json --server %s\n", sim.UserAddr(1))
	fmt.Fprintf(out, "  harewalk job why req-000002 --server %s\n", sim.UserAddr(0))
	fmt.Fprintf(out, "  harewalk job get req-000001 --server %s\n", sim.UserAddr(1))
	fmt.Fprintf(out, "  harewalk job cancel req-000001 --server %s\n", sim.UserAddr(2))
	if d.operatorFile != "" {
		fmt.Fprintf(out, "  harewalk licence list --server %s\n", sim.UserAddr(0))
		fmt.Fprintf(out, "  harewalk session list --server %s\n", sim.UserAddr(0))
	}
	fmt.Fprintf(out, "\nPress Ctrl-C to stop the cluster.\n")
}
