package main

import "testing"

// A fleet of the largest size that operators run can be tried out; nonsense is refused.
func TestDevTakesALargeFleet(t *testing.T) {
	d := dev{machines: 4000, controllers: 3, speed: 1, zones: []string{"a"}}
	if err := d.check(); err != nil {
		t.Error(err)
	}
	for _, machines := range []int{-1, 0, maxDevMachines + 1} {
		if d.machines = machines; d.check() == nil {
			t.Errorf("%d machines were taken", machines)
		}
	}
}
