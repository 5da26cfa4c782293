package api

import "testing"

func TestResponsesAreCountedByStatusAndClient(t *testing.T) {
	var counter ResponseCounter
	for _, status := range []int{200, 201, 404, 422, 429, 503, 503} {
		counter.countUser(status)
	}
	for _, status := range []int{200, 421, 503} {
		counter.countWorker(status)
	}
	want := ResponseCounts{
		Served:            4,
		TooManyRequests:   1,
		ServerErrors:      2,
		Heartbeats:        1,
		HeartbeatsRefused: 2,
	}
	if got := counter.Read(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestNilResponseCounterCountsNothing(*testing.T) {
	var none *ResponseCounter
	none.countUser(200)
	none.countWorker(200)
}
