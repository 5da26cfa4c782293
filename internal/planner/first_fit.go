package planner

// Host is a machine on which FirstFit may place tasks.
type Host struct {
	ID   int32
	Zone int32
	Free Size
}

// FirstFit places count tasks of equal size on the hosts, in the order of the hosts, and returns the host ID of each
// task. It returns nil if not all tasks fit. perZone is the maximum number of tasks in one zone; 0 means no limit. If
// oneZone is set, all tasks are placed in one zone: the first zone, in the order of the hosts, where they fit.
func FirstFit(hosts []Host, task Size, count int, oneZone bool, perZone int) []int32 {
	if oneZone {
		return firstFitInOneZone(hosts, task, count, perZone)
	}
	return firstFitAnywhere(hosts, task, count, perZone)
}

func firstFitInOneZone(hosts []Host, task Size, count, perZone int) []int32 {
	triedZones := map[int32]bool{}
	for i := range hosts {
		zone := hosts[i].Zone
		if triedZones[zone] {
			continue
		}
		triedZones[zone] = true
		placed := firstFitAnywhere(hostsInZone(hosts, zone), task, count, perZone)
		if placed != nil {
			return placed
		}
	}
	return nil
}

func hostsInZone(hosts []Host, zone int32) []Host {
	var inZone []Host
	for i := range hosts {
		if hosts[i].Zone == zone {
			inZone = append(inZone, hosts[i])
		}
	}
	return inZone
}

func firstFitAnywhere(hosts []Host, task Size, count, perZone int) []int32 {
	tasksInZone := map[int32]int{}
	placed := make([]int32, 0, count)
	for i := range hosts {
		host := &hosts[i]
		free := host.Free
		for len(placed) < count && task.Fits(free) && (perZone == 0 || tasksInZone[host.Zone] < perZone) {
			free = free.Sub(task)
			tasksInZone[host.Zone]++
			placed = append(placed, host.ID)
		}
	}
	if len(placed) < count {
		return nil
	}
	return placed
}
