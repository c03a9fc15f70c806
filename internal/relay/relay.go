package relay

import (
	"context"
	"maps"
	"slices"
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

// pollMessage asks a relay for the records from the cursors on.
const pollMessage peer.MessageType = 100

const (
	// maxPollWait is how long a relay waits for a change before it answers. Together with
	// the interval of the relay's own reads it bounds the staleness of a VM.
	maxPollWait = 500 * time.Millisecond
	// pollMargin is added to maxPollWait for the timeout of a poll. A VM that polls the
	// lease holder must notice when the lease holder fails, and read the shared log, before
	// its own records reach maxRelayAge. Otherwise all VMs that poll this VM would read the
	// log too.
	pollMargin = 350 * time.Millisecond
	// maxPollBytes is the size limit of a poll, which carries reports.
	maxPollBytes = 256 << 10
	// maxRelayAge is the age of a relay's answer above which a VM reads the shared log
	// itself. Even if the next poll fails after maxPollWait and pollMargin, the VM is then
	// less stale than the 2.5 s within which a backend server that leaves must get no more
	// requests.
	maxRelayAge = 1500 * time.Millisecond
	// maxReportingAge is the age of a relay's records above which it takes no reports. Reports
	// count for 5 s, so that the VMs can hand them to another relay in time.
	maxReportingAge = 2500 * time.Millisecond
	// maxReaderAge is the same as maxRelayAge for the VMs that the others of a failure domain
	// fall back to. It is shorter, so that these have new records when the others need them.
	maxReaderAge = 1200 * time.Millisecond
	// ownReadMargin is subtracted from Client.MaxStaleness for an own read of the shared log.
	// Until then a VM keeps polling relays whose records are too old, since those it falls
	// back to may just have begun to read the log.
	ownReadMargin = 500 * time.Millisecond
	// oldRetryDelay is the time between two rounds of such polls.
	oldRetryDelay = 100 * time.Millisecond
	// relayRetryDelay is the time without polls after a relay failed.
	// addressRetryInterval is the time between two checks whether the address of a relay
	// is known.
	relayRetryDelay      = time.Second
	addressRetryInterval = 250 * time.Millisecond
	// avoidPeriod is how long a relay that failed is polled only if all others have failed
	// too. The list of members drops a VM that has ended after 5 s.
	avoidPeriod = 3 * time.Second
	// outageProbeInterval is the same as probeInterval if the relay states that its own reads
	// fail. In a fleet of hundreds of VMs, own reads of each would be most of the calls of an
	// outage.
	outageProbeInterval = 3 * time.Second
	// maxStartWait is how long a starting VM looks for a relay before it keeps reading the
	// shared log itself. The first lease holder is known within half a second.
	// startRetryInterval is the time between two tries.
	maxStartWait       = 1500 * time.Millisecond
	startRetryInterval = 100 * time.Millisecond
	// probeInterval is how long after its own last failed read a VM accepts an old answer
	// of its relay. It is about the time between the VM's own reads while both the VM and
	// its relay fail to read the shared log. probeTime is how long such reads go on.
	probeInterval = 1500 * time.Millisecond
	probeTime     = 300 * time.Millisecond
	// minConfirmationGain is how much later than the polling VM knows the relay must have
	// confirmed the topics to answer without new records. It is about half the interval of
	// reads of the shared log.
	minConfirmationGain = 250 * time.Millisecond
	// batchDelay is the wait after a change, so that one answer carries changes that
	// arrive together.
	batchDelay = 5 * time.Millisecond
)

// noCursor is the offset that a VM without any record of a topic states in a poll.
const noCursor = -1

// errRelaysOld reports answers whose records are too old.
var errRelaysOld = errors.New("records from the relay are too old")

var errNoRelay = errors.New("no relay to poll: no address is known, or this VM is the lease holder")

// poll is the message by which a VM asks its relay for records.
type poll struct {
	// Cursors are the offsets of the next records by topic, or -1 before the first record.
	// Eras are the eras of these offsets, where they are not 0.
	Cursors map[string]int64 `cbor:"1,keyasint"`
	Eras    map[string]int64 `cbor:"5,keyasint,omitempty"`
	// Reports are encoded reports on their way to the lease holder: the VM's own and
	// those of VMs that poll it.
	Reports [][]byte `cbor:"2,keyasint,omitempty"`
	// WaitMs is how long the relay may wait for a change, in ms.
	WaitMs int64 `cbor:"3,keyasint"`
	// AgeMs is the staleness of the polling VM, in ms.
	AgeMs int64 `cbor:"4,keyasint"`
}

// pollReply answers a poll.
type pollReply struct {
	Topics map[string]topicReply `cbor:"1,keyasint"`
	// WaitedMs is the time in ms between the arrival of the poll and the answer.
	WaitedMs int64 `cbor:"2,keyasint"`
	// ReadsFail is set if the relay itself reads the shared log now, and fails.
	ReadsFail bool `cbor:"3,keyasint,omitempty"`
	// ReportsRefused is set if the relay has dropped the reports of the poll.
	ReportsRefused bool `cbor:"4,keyasint,omitempty"`
}

// topicReply holds the records of one topic from the cursor on, or the newest record of
// each key if Snapshot is set.
type topicReply struct {
	Records  []record `cbor:"1,keyasint,omitempty"`
	Snapshot bool     `cbor:"2,keyasint,omitempty"`
	Next     int64    `cbor:"3,keyasint"`
	Era      int64    `cbor:"6,keyasint,omitempty"` // era of all offsets of the topic
	// AgeMs is the time in ms since a read of the shared log confirmed that the topic
	// held no further records.
	AgeMs int64 `cbor:"4,keyasint"`
	// FailedMs is the time in ms since the relay last failed to read the topic, or -1 if
	// it never did.
	FailedMs int64 `cbor:"5,keyasint"`
}

// record is the wire form of a sharedlog.Record.
type record struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
}

func wireRecord(r sharedlog.Record) record {
	return record{Key: r.Key, Offset: r.Offset, Value: r.Value}
}

// Serve registers a handler that answers polls from the cache. onReports gets the encoded
// reports that a poll carries, unless this relay is probably cut off from the lease holder.
// readsFail reports whether own reads of the shared log fail.
func Serve(s *peer.Server, c *Cache, onReports func(reports [][]byte), readsFail func() bool) {
	peer.Handle(s, pollMessage, maxPollBytes, func(ctx context.Context, _ peer.Identity, p poll) (pollReply, error) {
		receivedAt := c.now()
		refused := c.age() > maxReportingAge
		if len(p.Reports) > 0 && !refused {
			onReports(p.Reports)
		}
		reply := c.waitForChange(ctx, p)
		reply.WaitedMs = (c.now() - receivedAt).Milliseconds()
		reply.ReadsFail, reply.ReportsRefused = readsFail(), refused
		return reply, nil
	})
}

// waitForChange answers a poll as soon as there are records after the cursors, or the
// topics are confirmed as of a time that is later by minConfirmationGain than the polling
// VM knows, or the wait ends. If each relay waited for its full time instead, the
// staleness would add up from relay to relay.
func (c *Cache) waitForChange(ctx context.Context, p poll) pollReply {
	timer := time.NewTimer(min(maxPollWait, time.Duration(p.WaitMs)*time.Millisecond))
	defer timer.Stop()
	confirmedAt := c.now() - time.Duration(p.AgeMs)*time.Millisecond
	for {
		changed := c.nextChange()
		reply, answerNow := c.collect(&p)
		if answerNow || c.now()-reply.age() >= confirmedAt+minConfirmationGain {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-timer.C:
			reply, _ = c.collect(&p)
			return reply
		case <-changed:
			time.Sleep(batchDelay)
		}
	}
}

// age returns the age of the topic that was confirmed the longest time ago.
func (r *pollReply) age() time.Duration {
	oldest := int64(0)
	for _, topic := range r.Topics {
		oldest = max(oldest, topic.AgeMs)
	}
	return time.Duration(oldest) * time.Millisecond
}

// collect reads all topics of a poll, and reports whether any of them is to be answered
// at once.
func (c *Cache) collect(p *poll) (pollReply, bool) {
	reply := pollReply{Topics: make(map[string]topicReply, len(p.Cursors))}
	answerNow := false
	for topic, offset := range p.Cursors {
		answer, topicChanged := c.read(topic, sharedlog.Position{Era: p.Eras[topic], Offset: offset})
		reply.Topics[topic] = answer
		answerNow = answerNow || topicChanged
	}
	return reply, answerNow
}

// Client polls the relay and delivers the answers to the followers. While the relay is
// in use, the followers do not read the shared log.
type Client struct {
	Peers     *peer.Client
	Followers []*directory.Follower
	// AddressFollower is the follower of the topic from which the address of the relay
	// becomes known.
	AddressFollower *directory.Follower
	// Address returns the address of the relay, or "" if none is known. self is true if
	// this VM is to read the shared log for the others.
	Address func() (address string, self bool)
	// Fallbacks returns the addresses of the relays to poll when that one fails, in order of
	// preference.
	Fallbacks func() []string
	// MaxStaleness is the age that the records of this VM may reach.
	MaxStaleness time.Duration
	// Reports returns the encoded reports to send with the next poll.
	Reports func() [][]byte
	// ReturnReports gets the reports of a poll that its relay has refused or not answered.
	ReturnReports func([][]byte)
	Now           func() time.Duration
	Log           *zap.Logger

	confirmedAt time.Duration // time as of which the last answer was complete; used by Run only
	// avoidUntil is the time until which a relay that failed is not polled, by address. It is
	// used by Run only.
	avoidUntil map[string]time.Duration

	mu          sync.Mutex
	mode        mode
	directReads chan struct{} // closed while the followers read the shared log
}

// mode is the source from which the followers get their records.
type mode int

const (
	// modeStarting applies until a relay is in use or maxStartWait has passed. Each
	// follower reads the shared log once; the AddressFollower keeps reading.
	modeStarting mode = iota
	// modeDirect means that the followers read the shared log.
	modeDirect
	// modeRelayed means that the followers get their records from the relay.
	modeRelayed
)

// AttachFollowers makes the followers pause while the relay is in use. It must be called
// before they run.
func (c *Client) AttachFollowers() {
	c.directReads = make(chan struct{})
	for _, f := range c.Followers {
		ownPause := f.Pause
		f.Pause = func() <-chan struct{} {
			if ownPause != nil {
				if resume := ownPause(); resume != nil {
					return resume
				}
			}
			return c.pause(f)
		}
	}
}

// pause returns a channel that is closed when the follower is to read the shared log, or
// nil if it is to read the log now.
func (c *Client) pause(f *directory.Follower) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, started := f.Cursor()
	if c.mode == modeDirect || c.mode == modeStarting && (f == c.AddressFollower || !started) {
		return nil
	}
	return c.directReads
}

// Active reports whether a relay is in use.
func (c *Client) Active() bool { return c.currentMode() == modeRelayed }

func (c *Client) currentMode() mode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

// setMode changes the mode, logs the change, and resumes or pauses the followers.
func (c *Client) setMode(next mode, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.mode
	if before == next {
		return
	}
	c.mode = next
	if next == modeDirect {
		close(c.directReads)
		c.Log.Info("relay not in use, reading the log", zap.String("address", address), logfield.Error(err))
		return
	}
	if before == modeDirect {
		c.directReads = make(chan struct{})
	}
	c.Log.Info("relay in use", zap.String("address", address))
}

// Run polls the relay until ctx ends. If it fails, the VM polls one of the fallbacks. It
// makes the followers read the shared log only while no relay answers with sufficiently new
// records: when the lease holder fails, the VMs of a failure domain would otherwise all read
// the shared log at once, each several times a second.
func (c *Client) Run(ctx context.Context) {
	c.avoidUntil = make(map[string]time.Duration)
	startedAt := c.Now()
	for ctx.Err() == nil {
		address, self := c.Address()
		used, err := c.pollAny(ctx, c.candidates(address, self))
		if err == nil {
			c.setMode(modeRelayed, used, nil)
			continue
		}
		switch {
		case c.currentMode() == modeStarting && !self && c.Now()-startedAt < maxStartWait:
			clock.Sleep(ctx, startRetryInterval)
		case c.mayWait(err):
			clock.Sleep(ctx, oldRetryDelay)
		default:
			c.setMode(modeDirect, address, err)
			clock.Sleep(ctx, directTime(address, err))
		}
	}
}

// directTime returns how long the VM reads the shared log before it polls again.
func directTime(address string, err error) time.Duration {
	switch {
	case address == "":
		return addressRetryInterval
	case errors.Is(err, errRelaysOld):
		return probeTime
	}
	return relayRetryDelay
}

// pollAny polls the candidates one after the other until one answers with sufficiently new
// records, and returns its address. It returns errRelaysOld if all answered with old
// records, and otherwise the error of the last one.
func (c *Client) pollAny(ctx context.Context, candidates []string) (string, error) {
	if len(candidates) == 0 {
		return "", errNoRelay
	}
	old := 0
	var err error
	for i, candidate := range candidates {
		wait := maxPollWait
		if i > 0 || c.Now()-c.confirmedAt > c.maxAge() {
			wait = 0
			if i > 0 && c.Active() && !c.mayPoll() {
				break
			}
		}
		if err = c.poll(ctx, candidate, wait); err == nil {
			return candidate, nil
		}
		if errors.Is(err, errRelaysOld) {
			old++
			continue
		}
		c.Peers.Drop(candidate)
		c.avoidUntil[candidate] = c.Now() + avoidPeriod
	}
	if old == len(candidates) {
		return "", errRelaysOld
	}
	return "", err
}

// mayPoll reports whether another poll that fails would leave time for an own read of the
// shared log before the records of this VM are too old.
func (c *Client) mayPoll() bool {
	return c.Now()-c.confirmedAt+pollMargin <= c.MaxStaleness-ownReadMargin
}

// mayWait reports whether the VM may go on polling after a round of polls that failed with
// err, instead of reading the shared log itself.
func (c *Client) mayWait(err error) bool {
	return c.Active() && errors.Is(err, errRelaysOld) && c.mayPoll()
}

// candidates returns the addresses to poll in order: the relay and the fallbacks, those that
// have not failed recently first. If all of them have, only the relay is tried, so that a VM
// reads the shared log in time. A VM that reads the log for the others has none.
func (c *Client) candidates(address string, self bool) []string {
	if self || address == "" {
		return nil
	}
	now := c.Now()
	maps.DeleteFunc(c.avoidUntil, func(_ string, until time.Duration) bool { return now >= until })
	var list []string
	for _, candidate := range append([]string{address}, c.Fallbacks()...) {
		if _, avoided := c.avoidUntil[candidate]; !avoided && !slices.Contains(list, candidate) {
			list = append(list, candidate)
		}
	}
	if len(list) == 0 {
		return []string{address}
	}
	return list
}

// poll sends one poll, for which the relay may wait for a change, and delivers the answer to
// the followers.
func (c *Client) poll(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	request := poll{Cursors: make(map[string]int64, len(c.Followers)), Eras: make(map[string]int64)}
	if c.Active() {
		// A VM that reads the shared log itself appends its reports.
		request.Reports = c.Reports()
		request.WaitMs = wait.Milliseconds()
		request.AgeMs = (c.Now() - c.confirmedAt).Milliseconds()
	}
	for _, f := range c.Followers {
		next, started := f.Cursor()
		if !started {
			next.Offset = noCursor
		}
		request.Cursors[f.Topic] = next.Offset
		if next.Era != 0 {
			request.Eras[f.Topic] = next.Era
		}
	}
	sentAt := c.Now()
	var reply pollReply
	_, err := c.Peers.Call(ctx, address, pollMessage, request, &reply)
	if (err != nil || reply.ReportsRefused) && len(request.Reports) > 0 {
		c.ReturnReports(request.Reports)
	}
	if err != nil {
		return err
	}
	for _, f := range c.Followers {
		if answer, ok := reply.Topics[f.Topic]; !ok || answer.Next == 0 && len(answer.Records) == 0 {
			return errors.Errorf("relay has no records of topic %s", f.Topic)
		}
	}
	answeredAt := sentAt + time.Duration(reply.WaitedMs)*time.Millisecond
	c.confirmedAt = max(c.confirmedAt, answeredAt-reply.age())
	for _, f := range c.Followers {
		// Old records are delivered too: they tell when the relay failed to read the log.
		c.deliver(f, reply.Topics[f.Topic], answeredAt)
	}
	for _, f := range c.Followers {
		if err := c.checkAge(f, reply.Topics[f.Topic], reply.ReadsFail); err != nil {
			return err
		}
	}
	return nil
}

// checkAge returns an error if the answer for the topic of the follower is older than maxAge.
// An older answer is accepted while this VM cannot read the shared log either: if all VMs
// kept reading an unavailable log, they would all read it at once when it returns.
func (c *Client) checkAge(f *directory.Follower, answer topicReply, relayReadsFail bool) error {
	age := time.Duration(answer.AgeMs) * time.Millisecond
	interval := probeInterval
	if relayReadsFail {
		interval = outageProbeInterval
	}
	if age > c.maxAge() && !f.FailedSince(c.Now()-interval) {
		return errors.Wrapf(errRelaysOld, "topic %s, %s old", f.Topic, age)
	}
	return nil
}

// ReadsFail reports whether this VM reads the shared log itself now, and fails.
func (c *Client) ReadsFail() bool {
	if c.Active() {
		return false
	}
	since := c.Now() - probeInterval
	return slices.ContainsFunc(c.Followers, func(f *directory.Follower) bool { return f.FailedSince(since) })
}

// maxAge returns the age of records up to which the VM polls relays.
func (c *Client) maxAge() time.Duration {
	if len(c.Fallbacks()) < domainReaders {
		return maxReaderAge
	}
	return maxRelayAge
}

// deliver passes the answer for one topic to its follower. The relay made the answer at
// the time answeredAt or later.
func (c *Client) deliver(f *directory.Follower, answer topicReply, answeredAt time.Duration) {
	batch := sharedlog.Batch{Era: answer.Era, Next: answer.Next, End: answer.Next}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, sharedlog.Record{Key: r.Key, Offset: r.Offset, Value: r.Value})
	}
	info := directory.BatchInfo{Snapshot: answer.Snapshot, ConfirmedAt: answeredAt - time.Duration(answer.AgeMs)*time.Millisecond}
	if answer.FailedMs >= 0 {
		info.FailedAt = c.Now() - time.Duration(answer.FailedMs)*time.Millisecond
	}
	f.Deliver(batch, info)
}
