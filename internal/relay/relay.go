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
	pollWait = 700 * time.Millisecond
	// pollMargin is how much longer a VM waits for the answer.
	pollMargin = 400 * time.Millisecond
	// maxPollBytes bounds a poll, which carries a report of load.
	maxPollBytes = 256 << 10
	// maxAge is the age of a relay's knowledge above which a VM reads the log itself.
	maxAge = 2000 * time.Millisecond
	// retryAfter is the time without polls after a relay failed.
	retryAfter = time.Second
	// batchDelay collects news that arrive together.
	batchDelay = 5 * time.Millisecond
)

type poll struct {
	Cursors map[string]int64 `cbor:"1,keyasint"`
	// Reports are the reports of load that are on their way to the holder of the lease:
	// the VM's own and those of VMs that poll it.
	Reports [][]byte `cbor:"2,keyasint,omitempty"`
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
		reply := c.answer(ctx, p.Cursors)
		reply.WaitedMs = (c.now() - arrived).Milliseconds()
		return reply, nil
	})
}

// answer waits for news beyond the cursors, for at most pollWait.
func (c *Cache) answer(ctx context.Context, cursors map[string]int64) pollReply {
	timer := time.NewTimer(pollWait)
	defer timer.Stop()
	for {
		changed := c.waitFor()
		reply, news := c.collect(cursors)
		if news {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-timer.C:
			reply, _ = c.collect(cursors)
			return reply
		case <-changed:
			time.Sleep(batchDelay)
		}
	}
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
	// Address returns where the relay is, or "" if this VM should read the log itself.
	Address func() string
	// Reports returns the encoded reports that are due.
	Reports func() [][]byte
	Now     func() time.Duration
	Log     *zap.Logger

	mu     sync.Mutex
	direct chan struct{} // closed while the followers read the log
	active bool
}

// Prepare makes the followers wait for the client. It must be called before they run.
func (c *Client) Prepare() {
	c.direct = make(chan struct{})
	close(c.direct)
	for _, f := range c.Followers {
		f.Pause = c.pause
	}
}

func (c *Client) pause() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return nil
	}
	return c.direct
}

// Active reports whether a relay is in use.
func (c *Client) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *Client) setActive(active bool, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == active {
		return
	}
	c.active = active
	if active {
		c.direct = make(chan struct{})
		c.Log.Info("relay in use", zap.String("address", address))
		return
	}
	close(c.direct)
	c.Log.Info("relay not in use, reading the log", zap.String("address", address), logfield.Error(err))
}

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address := c.Address()
		if address == "" {
			c.setActive(false, address, nil)
			clock.Sleep(ctx, retryAfter/4)
			continue
		}
		if err := c.poll(ctx, address); err != nil {
			c.setActive(false, address, err)
			c.Peers.Drop(address)
			clock.Sleep(ctx, retryAfter)
			continue
		}
		c.setActive(true, address, nil)
	}
}

// poll asks once and hands on the answer.
func (c *Client) poll(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	request := poll{Cursors: make(map[string]int64, len(c.Followers)), Reports: c.Reports()}
	for _, f := range c.Followers {
		request.Cursors[f.Topic] = f.Cursor()
	}
	sent := c.Now()
	var reply pollReply
	if _, err := c.Peers.Call(ctx, address, messagePoll, request, &reply); err != nil {
		return err
	}
	for _, f := range c.Followers {
		answer, ok := reply.Topics[f.Topic]
		age := time.Duration(answer.AgeMs) * time.Millisecond
		if !ok || answer.Next == 0 && len(answer.Records) == 0 || age > maxAge {
			return errors.Errorf("the relay's knowledge of topic %s is %s old", f.Topic, age)
		}
	}
	for _, f := range c.Followers {
		c.deliver(f, reply.Topics[f.Topic], sent+time.Duration(reply.WaitedMs)*time.Millisecond)
	}
	return nil
}

// deliver hands on the answer for one topic, which was made at a time not before answered.
func (c *Client) deliver(f *directory.Follower, answer topicReply, answered time.Duration) {
	batch := sharedlog.Batch{Next: answer.Next, End: answer.Next}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, sharedlog.Record{Key: r.Key, Offset: r.Offset, Value: r.Value})
	}
	info := directory.BatchInfo{Whole: answer.Whole, Sent: answered - time.Duration(answer.AgeMs)*time.Millisecond}
	if answer.FailedMs >= 0 {
		info.Failed = c.Now() - time.Duration(answer.FailedMs)*time.Millisecond
	}
	f.Deliver(batch, info)
}
