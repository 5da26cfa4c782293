package api

import "sync/atomic"

// ResponseCounts counts what was answered since the start.
type ResponseCounts struct {
	Served, Busy, Unable uint64 // users: neither 429 nor 5xx, 429, 5xx
	Reports, Void        uint64 // workers: 200, anything else
}

// ResponseCounter counts answers; connection goroutines use it at the same time. Its zero value is ready.
type ResponseCounter struct{ served, busy, unable, reports, void atomic.Uint64 }

func (k *ResponseCounter) user(status int) {
	switch {
	case k == nil:
	case status == 429:
		k.busy.Add(1)
	case status >= 500:
		k.unable.Add(1)
	default:
		k.served.Add(1)
	}
}

func (k *ResponseCounter) worker(status int) {
	switch {
	case k == nil:
	case status == 200:
		k.reports.Add(1)
	default:
		k.void.Add(1)
	}
}

// Read tells what was counted.
func (k *ResponseCounter) Read() ResponseCounts {
	return ResponseCounts{k.served.Load(), k.busy.Load(), k.unable.Load(), k.reports.Load(), k.void.Load()}
}
