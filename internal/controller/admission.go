package controller

import (
	"slices"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// admit checks whether a job can ever run: within its team's quota, on some machine type and with its licences.
func (c *Controller) admit(spec *jobs.Spec) api.AdmissionResult {
	team := c.jobs.Names.Teams.Index(spec.Team)
	if c.quota.Team(team) == nil {
		return api.AdmissionResult{Decided: true, Reason: "unknown team"}
	}
	if len(c.machineTypes.list) == 0 {
		return api.AdmissionResult{Reason: "the machine types are not known yet"}
	}
	tasksAtOnce := 1
	if spec.Kind != jobs.Array {
		tasksAtOnce = spec.Tasks
	}
	if !c.quota.CouldEverFit(team, spec.Size(), tasksAtOnce) {
		return api.AdmissionResult{Decided: true, Reason: "the job needs more than the team's limit"}
	}
	fits := func(machineType capacity.MachineType) bool { return fitsType(spec, machineType) }
	if !slices.ContainsFunc(c.machineTypes.list, fits) {
		return api.AdmissionResult{Decided: true, Reason: "a task fits no allowed machine type"}
	}
	return c.admitLicences(spec.Licences, spec.Team, tasksAtOnce)
}

// admitLicences checks whether the licence pools can ever provide the licences of tasksAtOnce tasks.
func (c *Controller) admitLicences(perTask map[string]int, team string, tasksAtOnce int) api.AdmissionResult {
	ok, reason := c.licencePools.CanEverFit(perTask, team, tasksAtOnce)
	return api.AdmissionResult{OK: ok, Decided: true, Reason: reason}
}

// fitsType reports whether a job's tasks may run on a machine type and have room there.
func fitsType(spec *jobs.Spec, machineType capacity.MachineType) bool {
	isAllowed := spec.Types == nil || slices.Contains(spec.Types, machineType.Name)
	isInZone := spec.Zone == nil || slices.Contains(machineType.Zones, *spec.Zone)
	return isAllowed && isInZone && spec.Size().Fits(machineType.Size())
}
