package planner

// Host is a machine that FirstFit may use.
type Host struct {
	ID   int32
	Zone int32
	Free Size
}

// FirstFit places count equal tasks, in the order of the hosts, and returns the host ID of each; it returns nil if
// they don't all fit. perZone bounds the tasks in one zone, 0 means no bound. With oneZone set all tasks go to a
// single zone: the first, by the order of the hosts, that has room.
func FirstFit(hosts []Host, task Size, count int, oneZone bool, perZone int) []int32 {
	if oneZone {
		return firstFitInOneZone(hosts, task, count, perZone)
	}
	return firstFitAnywhere(hosts, task, count, perZone)
}

func firstFitInOneZone(hosts []Host, task Size, count, perZone int) []int32 {
	tried := map[int32]bool{}
	for i := range hosts {
		zone := hosts[i].Zone
		if tried[zone] {
			continue
		}
		tried[zone] = true
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
