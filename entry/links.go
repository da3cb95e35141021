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
	// linkUsable is the part of a link's rate that requests and answers may
	// use. The rest is for the control of the system and for heads of packets.
	linkUsable = 0.8
	// linkBurst is how much of its rate an entry may send at once.
	linkBurst = 250 * time.Millisecond
	// linkBurstLeast lets the largest request through.
	linkBurstLeast = RequestBytesMax + HeadBytesMax
	// messageExtraBytes is what a message takes beside bodies and headers.
	messageExtraBytes = 256
	// answerFirstBytes is the size that is expected of the first answers.
	answerFirstBytes = 4 << 10
	// answerWeight: each answer's size counts 1/answerWeight in the mean.
	answerWeight = 8

	bitsPerByte = 8
	mega        = 1_000_000
)

// links holds this entry's shares of the links from its region to the others.
// Every listed entry of a region has an equal share of each link that leaves
// it. An entry pays for the requests that it sends over a link before it sends
// them. Answers can't be held back, because their requests ran; so who would
// send the answer pays for it, at the size that answers had of late, before it
// lets the request run, and settles the difference afterwards.
type links struct {
	shares atomic.Pointer[map[place.Region]*linkShare]
}

// linkShare is this entry's share of one link.
type linkShare struct {
	bucket  *keeper.Bucket
	rate    float64      // bytes a second
	answers atomic.Int64 // mean size of an answer, in bytes
}

func (s *linkShare) learn(size int64) {
	before := s.answers.Load()
	s.answers.Store(before + (size-before)/answerWeight)
}

// update takes in the rates of the settings. entries is the number of listed
// entries of the region from.
func (l *links) update(from place.Region, regions []place.Region, fleet *config.Fleet, entries int, now time.Duration) {
	var before map[place.Region]*linkShare
	if held := l.shares.Load(); held != nil {
		before = *held
	}
	after := make(map[place.Region]*linkShare, len(regions))
	for _, to := range regions {
		mbit, limited := fleet.LinkMbitPerSecond(config.NewLink(from, to))
		if to == from || !limited {
			continue
		}
		rate := mbit * mega / bitsPerByte * linkUsable / float64(max(entries, 1))
		burst := max(rate*linkBurst.Seconds(), linkBurstLeast)
		share := before[to]
		switch {
		case share == nil:
			share = &linkShare{bucket: keeper.NewBucket(rate, burst, now), rate: rate}
			share.answers.Store(answerFirstBytes)
		case share.rate != rate:
			next := &linkShare{bucket: share.bucket, rate: rate}
			next.answers.Store(share.answers.Load())
			next.bucket.SetRate(rate, burst, now)
			share = next
		}
		after[to] = share
	}
	l.shares.Store(&after)
}

func (l *links) share(to place.Region) *linkShare {
	held := l.shares.Load()
	if held == nil {
		return nil
	}
	return (*held)[to]
}

// pay takes the bytes of a request that is to be sent to the region. The error
// says when there will be room again.
func (l *links) pay(to place.Region, size int64, now time.Duration) error {
	share := l.share(to)
	if share == nil {
		return nil
	}
	if taken, wait := share.bucket.Take(float64(size), now); !taken {
		return linkFull(to, wait)
	}
	return nil
}

// reserve takes what the answer to a request from the region will need on the
// way back. The returned function settles it once the answer's size is known; 0
// means that there was none.
func (l *links) reserve(to place.Region, now func() time.Duration) (func(size int64), error) {
	share := l.share(to)
	if share == nil {
		return func(int64) {}, nil
	}
	expected := share.answers.Load()
	if taken, wait := share.bucket.Take(float64(expected), now()); !taken {
		return nil, linkFull(to, wait)
	}
	return func(size int64) {
		share.bucket.Charge(float64(size-expected), now())
		if size > 0 {
			share.learn(size)
		}
	}, nil
}

func linkFull(to place.Region, wait time.Duration) error {
	return errs.NotRun(errs.ReasonLinkFull, min(max(wait, ComeBack), time.Minute), "this entry's share of the link to region %s is used up", to)
}

// requestBytes returns about how many bytes a request takes on a link.
func requestBytes(r *Request) int64 {
	return int64(len(r.path)+len(r.body)+messageExtraBytes) + headerBytes(r.headers)
}

// answerBytes returns about how many bytes an answer takes on a link.
func answerBytes(a *wire.Answer) int64 {
	return int64(len(a.Body)+messageExtraBytes) + headerBytes(a.Headers)
}

func headerBytes(headers []wire.Header) int64 {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
