package router

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"fireflyfield/internal/fleet"
	"fireflyfield/internal/forward"
	"fireflyfield/internal/gossip"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/quarantine"
	"fireflyfield/internal/share"
)

// Topics of the notices that VMs tell each other. The numbers are part of the format.
const (
	topicCrash    gossip.Topic = 1
	topicAnswered gossip.Topic = 2
	topicAlive    gossip.Topic = 3
	topicReach    gossip.Topic = 4
	topicLimit    gossip.Topic = 5
)

// processNotice is a process of a backend server.
type processNotice struct {
	Backend string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"` // Unix ms
}

func (p processNotice) process() fleet.ProcessID {
	return fleet.ProcessID{Backend: p.Backend, Started: p.Started}
}

// crashNotice is the end of a process with the requests that a VM had in flight there.
type crashNotice struct {
	Process  processNotice            `cbor:"1,keyasint"`
	Requests []quarantine.Fingerprint `cbor:"2,keyasint"`
}

// crashPublisher implements quarantine.Publisher.
type crashPublisher struct{ gossip *gossip.Node }

// maxNoticeRequests bounds the requests of a notice, which must fit into a datagram.
const maxNoticeRequests = 128

// Crashed implements quarantine.Publisher.
func (p crashPublisher) Crashed(c quarantine.Crash) {
	c.Requests = c.Requests[:min(len(c.Requests), maxNoticeRequests)]
	p.gossip.Publish(topicCrash, processKey(c.Process), crashNotice{Process: processNotice(c.Process), Requests: c.Requests})
}

// Answered implements quarantine.Publisher.
func (p crashPublisher) Answered(f quarantine.Fingerprint) {
	p.gossip.Publish(topicAnswered, f.String(), f)
}

// Alive implements quarantine.Publisher.
func (p crashPublisher) Alive(process fleet.ProcessID) {
	p.gossip.Publish(topicAlive, processKey(process), processNotice(process))
}

func processKey(p fleet.ProcessID) string { return p.Backend + "/" + strconv.FormatInt(p.Started, 36) }

// newGossip returns the exchange of notices with the other VMs.
func (r *Router) newGossip() *gossip.Node {
	subscribe := func(handle gossip.Handler) gossip.Subscription {
		return gossip.Subscription{Retention: quarantine.Retention, Handle: handle}
	}
	topics := map[gossip.Topic]gossip.Subscription{
		topicCrash: subscribe(func(n gossip.Notice, at time.Duration) {
			if c, ok := decodeNotice[crashNotice](r.log, n); ok {
				r.quarantine.ApplyCrash(quarantine.Crash{Process: c.Process.process(), Requests: c.Requests, At: at}, r.clock.Now())
			}
		}),
		topicAnswered: subscribe(func(n gossip.Notice, at time.Duration) {
			if f, ok := decodeNotice[quarantine.Fingerprint](r.log, n); ok {
				r.quarantine.ApplyAnswer(f, at, r.clock.Now())
			}
		}),
		topicAlive: subscribe(func(n gossip.Notice, at time.Duration) {
			if p, ok := decodeNotice[processNotice](r.log, n); ok {
				r.quarantine.ApplyAlive(p.process(), at, r.clock.Now())
			}
		}),
	}
	topics[topicReach] = gossip.Subscription{Retention: reachRetention, Handle: func(n gossip.Notice, at time.Duration) {
		if reach, ok := decodeNotice[reachNotice](r.log, n); ok {
			r.applyReach(reach, at)
		}
	}}
	topics[topicLimit] = gossip.Subscription{Retention: forward.LimitRetention, Handle: func(n gossip.Notice, at time.Duration) {
		if limit, ok := decodeNotice[forward.LimitNotice](r.log, n); ok {
			r.servers.ApplyLimitNotice(limit, at)
		}
	}}
	return gossip.NewNode(r.clock, r.log, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), topics, func() []netip.AddrPort {
		if peers := r.gossipPeers.Load(); peers != nil {
			return *peers
		}
		return nil
	})
}

// publishLimit tells all VMs of a limit that a backend server names.
func (r *Router) publishLimit(n forward.LimitNotice) {
	r.gossip.PublishShared(topicLimit, n.Key(), n.Order(), n)
}

// setGossipPeers sets the addresses to which notices are sent.
func (r *Router) setGossipPeers(members []share.Member) {
	var peers []netip.AddrPort
	for _, m := range members {
		if address, ok := portAbove(m.Address, gossipPortOffset); ok && m.VM != r.options.VM {
			peers = append(peers, address)
		}
	}
	r.gossipPeers.Store(&peers)
}

// decodeNotice decodes the content of a notice, or logs an error and returns false.
func decodeNotice[T any](log *zap.Logger, n gossip.Notice) (content T, ok bool) {
	if err := cbor.Unmarshal(n.Content, &content); err != nil {
		log.Error("notice of a VM cannot be decoded", zap.Uint8("topic", uint8(n.Topic)), logfield.Error(err))
		return content, false
	}
	return content, true
}
