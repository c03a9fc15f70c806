package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/sharedlog"
)

// messagePoll asks a relay for what follows the cursors.
const messagePoll peer.MessageType = 100

const (
	// pollWait is how long a relay waits for news before it answers. It bounds the age
	// of what a VM knows, with the relay's own reads.
	pollWait = 500 * time.Millisecond
	// pollMargin is how much longer a VM waits for the answer. A VM that polls the
	// holder must notice its loss, and read the log, before maxAge: else all VMs that
	// poll it would read the log too.
	pollMargin = 350 * time.Millisecond
	// maxPollBytes bounds a poll, which carries a report of load.
	maxPollBytes = 256 << 10
	// maxAge is the age of a relay's knowledge above which a VM reads the log itself. With
	// a poll that fails after pollWait and pollMargin, what a VM knows stays younger than
	// the 2.5 s within which a backend server that leaves must get no more requests.
	maxAge = 1500 * time.Millisecond
	// retryAfter is the time without polls after a relay failed, and addressPause the
	// time between looks for the address of one.
	retryAfter   = time.Second
	addressPause = 250 * time.Millisecond
	// startPatience is how long a VM that starts looks for a relay before it reads on by
	// itself: the first holder of the lease is found within half a second. startPause
	// is the time between its tries.
	startPatience = 1500 * time.Millisecond
	startPause    = 100 * time.Millisecond
	// probeInterval is the time between a VM's own reads while both it and its relay
	// fail to read the log.
	probeInterval = 1500 * time.Millisecond
	// refreshStep is by how much newer the confirmation of what a VM knows must be for
	// an answer without news: about half the time between reads of the log.
	refreshStep = 250 * time.Millisecond
	// batchDelay collects news that arrive together.
	batchDelay = 5 * time.Millisecond
)

var errNoRelay = errors.New("no relay is known")

type poll struct {
	Cursors map[string]int64 `cbor:"1,keyasint"`
	// Reports are the reports of load that are on their way to the holder of the lease:
	// the VM's own and those of VMs that poll it.
	Reports [][]byte `cbor:"2,keyasint,omitempty"`
	// WaitMs is how long the relay may wait for news, in ms.
	WaitMs int64 `cbor:"3,keyasint"`
	// AgeMs is the age of what the VM knows, in ms.
	AgeMs int64 `cbor:"4,keyasint"`
}

type pollReply struct {
	Topics map[string]topicReply `cbor:"1,keyasint"`
	// WaitedMs is the time in ms between the arrival of the poll and the answer.
	WaitedMs int64 `cbor:"2,keyasint"`
}

type topicReply struct {
	Records []record `cbor:"1,keyasint,omitempty"`
	Whole   bool     `cbor:"2,keyasint,omitempty"`
	Next    int64    `cbor:"3,keyasint"`
	// AgeMs is the time in ms since the log confirmed that the records were all.
	AgeMs int64 `cbor:"4,keyasint"`
	// FailedMs is the time in ms since the log last failed; -1 for not lately.
	FailedMs int64 `cbor:"5,keyasint"`
}

type record struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
}

func wireRecord(r sharedlog.Record) record {
	return record{Key: r.Key, Offset: r.Offset, Value: r.Value}
}

// Serve answers polls from the cache. onReport gets the reports of other VMs.
func Serve(s *peer.Server, c *Cache, onReports func(reports [][]byte)) {
	peer.Handle(s, messagePoll, maxPollBytes, func(ctx context.Context, _ peer.Identity, p poll) (pollReply, error) {
		if len(p.Reports) > 0 {
			onReports(p.Reports)
		}
		arrived := c.now()
		reply := c.answer(ctx, p)
		reply.WaitedMs = (c.now() - arrived).Milliseconds()
		return reply, nil
	})
}

// answer waits for news beyond the cursors, or until it can confirm what the VM knows
// as of a later time. Ages would add up from relay to relay if each waited for its own
// time instead.
func (c *Cache) answer(ctx context.Context, p poll) pollReply {
	timer := time.NewTimer(min(pollWait, time.Duration(p.WaitMs)*time.Millisecond))
	defer timer.Stop()
	confirmed := c.now() - time.Duration(p.AgeMs)*time.Millisecond
	for {
		changed := c.waitFor()
		reply, news := c.collect(p.Cursors)
		if news || c.now()-reply.age() >= confirmed+refreshStep {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-timer.C:
			reply, _ = c.collect(p.Cursors)
			return reply
		case <-changed:
			time.Sleep(batchDelay)
		}
	}
}

// age is the greatest age of the knowledge of a topic.
func (r *pollReply) age() time.Duration {
	oldest := int64(0)
	for _, topic := range r.Topics {
		oldest = max(oldest, topic.AgeMs)
	}
	return time.Duration(oldest) * time.Millisecond
}

func (c *Cache) collect(cursors map[string]int64) (pollReply, bool) {
	reply := pollReply{Topics: make(map[string]topicReply, len(cursors))}
	news := false
	for topic, cursor := range cursors {
		answer, fresh := c.read(topic, cursor)
		reply.Topics[topic] = answer
		news = news || fresh
	}
	return reply, news
}

// Client polls the relay and hands what it says to the followers. While it does,
// the followers do not read the log.
type Client struct {
	Peers     *peer.Client
	Followers []*directory.Follower
	// First is the follower that learns where the relay is.
	First *directory.Follower
	// Address returns where the relay is; "" if none is known. self tells that this VM
	// is to read the log for the others.
	Address func() (address string, self bool)
	// Reports returns the encoded reports that are due.
	Reports func() [][]byte
	Now     func() time.Duration
	Log     *zap.Logger

	confirmed time.Duration // as of when the last answer told all; used by Run only

	mu     sync.Mutex
	mode   mode
	direct chan struct{} // closed while the followers read the log
}

// mode says who reads the log for this VM.
type mode int

const (
	// modeStarting: the relay is not known yet. Each follower reads once.
	modeStarting mode = iota
	modeDirect
	modeRelayed
)

// Prepare makes the followers wait for the client. It must be called before they run.
func (c *Client) Prepare() {
	c.direct = make(chan struct{})
	for _, f := range c.Followers {
		own := f.Pause
		f.Pause = func() <-chan struct{} {
			if own != nil {
				if resume := own(); resume != nil {
					return resume
				}
			}
			return c.pause(f)
		}
	}
}

// pause returns a channel that is closed when a follower is to read the log, or nil
// if it is to read it now.
func (c *Client) pause(f *directory.Follower) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode == modeDirect || c.mode == modeStarting && (f == c.First || f.Cursor() < 0) {
		return nil
	}
	return c.direct
}

// Active reports whether a relay is in use.
func (c *Client) Active() bool { return c.current() == modeRelayed }

func (c *Client) current() mode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (c *Client) setMode(next mode, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.mode
	if before == next {
		return
	}
	c.mode = next
	if next == modeDirect {
		close(c.direct)
		c.Log.Info("relay not in use, reading the log", zap.String("address", address), logfield.Error(err))
		return
	}
	if before == modeDirect {
		c.direct = make(chan struct{})
	}
	c.Log.Info("relay in use", zap.String("address", address))
}

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	started := c.Now()
	for ctx.Err() == nil {
		address, self := c.Address()
		err := errNoRelay
		if address != "" {
			if err = c.poll(ctx, address); err == nil {
				c.setMode(modeRelayed, address, nil)
				continue
			}
			c.Peers.Drop(address)
		}
		pause := retryAfter
		switch {
		case c.current() == modeStarting && !self && c.Now()-started < startPatience:
			pause = startPause
		default:
			c.setMode(modeDirect, address, err)
			if address == "" {
				pause = addressPause
			}
		}
		clock.Sleep(ctx, pause)
	}
}

// poll asks once and hands on the answer.
func (c *Client) poll(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	request := poll{Cursors: make(map[string]int64, len(c.Followers)), Reports: c.Reports()}
	if c.Active() {
		request.WaitMs = pollWait.Milliseconds()
		request.AgeMs = (c.Now() - c.confirmed).Milliseconds()
	}
	for _, f := range c.Followers {
		request.Cursors[f.Topic] = f.Cursor()
	}
	sent := c.Now()
	var reply pollReply
	if _, err := c.Peers.Call(ctx, address, messagePoll, request, &reply); err != nil {
		return err
	}
	for _, f := range c.Followers {
		if err := c.check(f, reply.Topics); err != nil {
			return err
		}
	}
	answered := sent + time.Duration(reply.WaitedMs)*time.Millisecond
	c.confirmed = answered - reply.age()
	for _, f := range c.Followers {
		c.deliver(f, reply.Topics[f.Topic], answered)
	}
	return nil
}

// check reports whether the relay's knowledge of a topic will do. Knowledge that is
// too old will do while this VM cannot read the log either: if all VMs kept reading
// a log that is away, they would all read it when it is back.
func (c *Client) check(f *directory.Follower, topics map[string]topicReply) error {
	answer, ok := topics[f.Topic]
	if !ok || answer.Next == 0 && len(answer.Records) == 0 {
		return errors.Errorf("the relay knows nothing of topic %s", f.Topic)
	}
	age := time.Duration(answer.AgeMs) * time.Millisecond
	if age > maxAge && !f.FailedSince(c.Now()-probeInterval) {
		return errors.Errorf("the relay's knowledge of topic %s is %s old", f.Topic, age)
	}
	return nil
}

// deliver hands on the answer for one topic, which was made at a time not before answered.
func (c *Client) deliver(f *directory.Follower, answer topicReply, answered time.Duration) {
	batch := sharedlog.Batch{Next: answer.Next, End: answer.Next}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, sharedlog.Record{Key: r.Key, Offset: r.Offset, Value: r.Value})
	}
	info := directory.BatchInfo{Snapshot: answer.Whole, ConfirmedAt: answered - time.Duration(answer.AgeMs)*time.Millisecond}
	if answer.FailedMs >= 0 {
		info.FailedAt = c.Now() - time.Duration(answer.FailedMs)*time.Millisecond
	}
	f.Deliver(batch, info)
}
