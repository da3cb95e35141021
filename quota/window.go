package quota

import "time"

// windowBins is the number of bins of a window. One of them is the current one, so
// that the others cover the whole span.
const windowBins = 51

// window counts the requests of the last span, in bins. A request leaves it at most one
// bin after the span has passed.
type window struct {
	step   time.Duration
	bins   [windowBins]float64
	newest int64
	sum    float64
}

// newWindow returns a window over a span that begins with the given number of requests,
// spread evenly, because it isn't known when they were.
func newWindow(span time.Duration, requests float64, sinceStart time.Duration) window {
	w := window{step: max(span/(windowBins-1), time.Millisecond), sum: requests}
	w.newest = int64(sinceStart / w.step)
	for i := range w.bins {
		w.bins[i] = requests / windowBins
	}
	return w
}

// advance drops the requests that have left the window. The time since the start is
// monotonic.
func (w *window) advance(sinceStart time.Duration) {
	bin := int64(sinceStart / w.step)
	if bin-w.newest >= windowBins {
		*w = window{step: w.step, newest: bin}
		return
	}
	for w.newest < bin {
		w.newest++
		i := w.newest % windowBins
		w.sum -= w.bins[i]
		w.bins[i] = 0
	}
}

// add counts requests in the current bin. A negative number takes them out again.
func (w *window) add(requests float64) {
	w.bins[w.newest%windowBins] += requests
	w.sum += requests
}

// leaving returns how many requests leave the window within the given time.
func (w *window) leaving(within time.Duration) float64 {
	total := 0.0
	for i := int64(1); i <= min(int64(within/w.step), windowBins-1); i++ {
		total += w.bins[(w.newest+i)%windowBins]
	}
	return total
}
