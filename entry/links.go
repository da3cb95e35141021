package entry

import (
	"sync/atomic"
	"time"

	"github.com/endivechute/endivechute/config"
	"github.com/endivechute/endivechute/errs"
	"github.com/endivechute/endivechute/keeper"
	"github.com/endivechute/endivechute/place"
	"github.com/endivechute/endivechute/wire"
)

const (
	// linkUsableShare is the share of a link's rate that requests and answers
	// may use. The rest is reserved for control messages and packet headers.
	linkUsableShare = 0.8
	// linkBurst sets how many bytes an entry may send at once: as many as its
	// rate allows in this time, but at least linkBurstBytesMin.
	linkBurst = 250 * time.Millisecond
	// linkBurstBytesMin is the minimum of the burst, in bytes, so that the
	// largest request can be sent on a slow link.
	linkBurstBytesMin = RequestBytesMax + HeadBytesMax
	// messageOverheadBytes is the size of a message without its body and headers.
	messageOverheadBytes = 256
	// answerBytesInitial is the expected size of an answer before the first one.
	answerBytesInitial = 4 << 10
	// answerMeanDivisor is the divisor of the moving mean of answer sizes: each
	// answer has the weight 1/answerMeanDivisor.
	answerMeanDivisor = 8

	bitsPerByte    = 8
	bitsPerMegabit = 1_000_000
)

// links limits the bytes that this entry sends from its region to the others.
// Every listed entry of a region has an equal share of the rate of each link that
// leaves the region. The bytes of a request are charged before it is sent.
// An answer can't be held back, because its request has run. The entry that
// will send the answer therefore reserves the mean size of recent answers before
// it runs the request, and corrects the charge afterwards.
type links struct {
	shares atomic.Pointer[map[place.Region]*linkShare]
}

// linkShare is this entry's share of the rate of one link.
type linkShare struct {
	bucket     *keeper.Bucket
	rate       float64      // bytes per second
	meanAnswer atomic.Int64 // mean size of an answer, in bytes
}

// recordAnswer adds the size of an answer to the moving mean.
func (s *linkShare) recordAnswer(size int64) {
	mean := s.meanAnswer.Load()
	s.meanAnswer.Store(mean + (size-mean)/answerMeanDivisor)
}

// update applies the link rates of the settings. entries is the number of listed
// entries in the region from.
func (l *links) update(from place.Region, regions []place.Region, fleet *config.Fleet, entries int, now time.Duration) {
	var previous map[place.Region]*linkShare
	if held := l.shares.Load(); held != nil {
		previous = *held
	}
	next := make(map[place.Region]*linkShare, len(regions))
	for _, to := range regions {
		mbit, limited := fleet.LinkMbitPerSecond(config.NewLink(from, to))
		if to == from || !limited {
			continue
		}
		rate := mbit * bitsPerMegabit / bitsPerByte * linkUsableShare / float64(max(entries, 1))
		burst := max(rate*linkBurst.Seconds(), linkBurstBytesMin)
		share := previous[to]
		switch {
		case share == nil:
			share = &linkShare{bucket: keeper.NewBucket(rate, burst, now), rate: rate}
			share.meanAnswer.Store(answerBytesInitial)
		case share.rate != rate:
			changed := &linkShare{bucket: share.bucket, rate: rate}
			changed.meanAnswer.Store(share.meanAnswer.Load())
			changed.bucket.SetRate(rate, burst, now)
			share = changed
		}
		next[to] = share
	}
	l.shares.Store(&next)
}

// share returns this entry's share of the link to a region, or nil if the link
// has no limit.
func (l *links) share(to place.Region) *linkShare {
	held := l.shares.Load()
	if held == nil {
		return nil
	}
	return (*held)[to]
}

// chargeRequest charges the bytes of a request to be sent to a region. The error
// is a refusal with the time until the share suffices again.
func (l *links) chargeRequest(to place.Region, size int64, now time.Duration) error {
	share := l.share(to)
	if share == nil {
		return nil
	}
	if taken, wait := share.bucket.Take(float64(size), now); !taken {
		return linkFullError(to, wait)
	}
	return nil
}

// reserveAnswer charges the expected size of the answer to a request from a
// region. The returned function corrects the charge to the real size, in bytes,
// or to 0 if there was no answer.
func (l *links) reserveAnswer(to place.Region, now func() time.Duration) (func(size int64), error) {
	share := l.share(to)
	if share == nil {
		return func(int64) {}, nil
	}
	expected := share.meanAnswer.Load()
	if taken, wait := share.bucket.Take(float64(expected), now()); !taken {
		return nil, linkFullError(to, wait)
	}
	return func(size int64) {
		share.bucket.Debit(float64(size-expected), now())
		if size > 0 {
			share.recordAnswer(size)
		}
	}, nil
}

func linkFullError(to place.Region, wait time.Duration) error {
	return errs.NotRun(errs.ReasonLinkFull, min(max(wait, DefaultRetryAfter), time.Minute), "this entry's share of the link to region %s is exhausted", to)
}

// requestBytes returns the approximate number of bytes that a request takes on a
// link.
func requestBytes(r *Request) int64 {
	return int64(len(r.path)+len(r.body)+messageOverheadBytes) + headerBytes(r.headers)
}

// answerBytes returns the approximate number of bytes that an answer takes on a
// link.
func answerBytes(a *wire.Answer) int64 {
	return int64(len(a.Body)+messageOverheadBytes) + headerBytes(a.Headers)
}

func headerBytes(headers []wire.Header) int64 {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
