package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/simulator"
)

// A controller serves metrics and profiles on debug_addr. The leader's metrics include those of machines and licences.
func TestMetricsAreServedOnDebugAddress(t *testing.T) {
	sim := newSimulation(t, simulator.Config{Seed: 25, MaxMachines: 2, LicencePools: licenceCounts()})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	file := filepath.Join(t.TempDir(), "o.hcl")
	operator := fmt.Sprintf("debug_addr = %q\n", addr) + fmt.Sprintf(licencePools, sim.Licences.Addr)
	writeFile(t, file, operator)
	settings, err := config.Parse(sim.SettingsJSON(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.LoadOperator(file); err != nil {
		t.Fatal(err)
	}
	go func() { _ = controller.New(settings).Run() }()
	get := func(path string) string {
		resp, err := http.Get("http://" + addr + path)
		if err != nil {
			return ""
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body)
		return string(raw)
	}
	for _, want := range []string{
		"harewalk_leading 1",
		`harewalk_licence_seats{pool="transcribe",what="count"} 24`,
		`harewalk_machines{condition="acting"}`,
		`harewalk_tasks{state="on machine"} 0`,
		"go_goroutines",
	} {
		waitUntil(t, want, func() bool { return strings.Contains(get("/metrics"), want) })
	}
	if !strings.Contains(get("/debug/pprof/"), "goroutine") {
		t.Error("/debug/pprof/ lists no goroutine profile")
	}
}
