package main

// coreRules are the rules of ownership in internal/keylease/core.go.
var coreRules = []rule{
	core("takeover: a claim gives each owned range a new token",
		`				c.fence++
				s.entry.Fence = c.fence
			}
`,
		`			}
`),
	core("takeover: tokens go on above those of the last holder",
		`	c.fence = max(c.fence, recorded.Fence)
`,
		""),
	core("takeover: a claim in a restored log has the tokens of its era",
		"fence: firstFence(era),",
		"fence: 0,"),
	core("takeover: a holder records its state again after a restore",
		`	c.era = era
	c.version++
`,
		`	c.era = era
`),
	core("takeover: a holder records its state again over that of another program",
		"func (c *Core) Overwritten() { c.version++ }",
		"func (c *Core) Overwritten() {}"),
	core("takeover: a lease by the last call of a predecessor is waited for",
		"\tleasedUntil := p.CallsUntil + RangeLeaseDuration + holdMargin",
		"\tleasedUntil := p.CallsUntil"),
	core("takeover: a lease is counted longer than it is granted for, since clocks run slow",
		"\tholdMargin = RangeLeaseDuration/50 + 150*time.Millisecond",
		"\tholdMargin = 0 * time.Millisecond"),
	core("takeover: a range that was released after a claim waits for renewals of the predecessor",
		"uncertainUntil: leasedUntil, ",
		"uncertainUntil: now, "),
	core("takeover: a predecessor that did not resign may still send grants",
		"\tunansweredUntil := leasedUntil // the predecessor may renew a lease that its owner has released",
		"\tunansweredUntil := now"),
	core("takeover: a predecessor that resigned leaves no unanswered grants",
		`	if p.Resigned {
		unansweredUntil`,
		`	if false {
		unansweredUntil`),
	core("takeover: a resignation in a restored log does not end the calls of holders in its lost part",
		"\t\tp = Predecessor{CallsUntil: now + AssignmentLeaseDuration + grantTimeout}",
		"\t\tp.CallsUntil = max(p.CallsUntil, now)"),
	core("takeover: owners in a restored log are only hints",
		`		case restored:
`,
		`		case false:
`),
	core("takeover: the keys of a service that a restored log lacks are not assigned at once",
		"\t\tc.newServicesFrom = now + AssignmentLeaseDuration",
		"\t\tc.newServicesFrom = 0 * AssignmentLeaseDuration"),
	core("takeover: the record of a claim states until when earlier calls may arrive",
		`	c.earlierCallsUntil = p.CallsUntil
`,
		""),
	core("takeover: a resignation with calls in flight is no clean one",
		`			if s.inFlight {
				return true`,
		`			if s.inFlight {
				return false`),
	core("takeover: a resignation with unanswered grants is no clean one",
		`			if now < s.unansweredUntil {
				return true`,
		`			if now < s.unansweredUntil {
				return false`),
	core("takeover: a record states the highest token",
		"Holder: c.instance, Fence: c.fence, Era: c.era,",
		"Holder: c.instance, Era: c.era,"),
	core("takeover: a record states the era that it was written in",
		"Holder: c.instance, Fence: c.fence, Era: c.era,",
		"Holder: c.instance, Fence: c.fence,"),
	core("owner: the range of a lost owner is freed only after its lease",
		"case s.entry.Moving && now >= s.leasedUntil && !s.inFlight:",
		"case s.entry.Moving && !s.inFlight:"),
	core("owner: a moving range is not freed while a call is in flight",
		"case s.entry.Moving && now >= s.leasedUntil && !s.inFlight:",
		"case s.entry.Moving && now >= s.leasedUntil:"),
	core("owner: a moving range is freed once its lease has ended",
		"case s.entry.Moving && now >= s.leasedUntil && !s.inFlight:",
		"case false:"),
	core("owner: the range of an unreachable owner is freed only after its lease",
		"now < c.avoidUntil[s.entry.Backend] && now >= s.leasedUntil && !s.inFlight:",
		"now < c.avoidUntil[s.entry.Backend] && !s.inFlight:"),
	core("owner: the range of an unreachable owner is not freed while a call is in flight",
		"now < c.avoidUntil[s.entry.Backend] && now >= s.leasedUntil && !s.inFlight:",
		"now < c.avoidUntil[s.entry.Backend] && now >= s.leasedUntil:"),
	core("owner: a range is freed for a failed grant only if its owner is unreachable",
		"case !s.granted && now < c.avoidUntil[s.entry.Backend] &&",
		"case !s.granted &&"),
	core("owner: the range of an unreachable owner is freed once its lease has ended",
		"case !s.granted && now < c.avoidUntil[s.entry.Backend] &&",
		"case false && now < c.avoidUntil[s.entry.Backend] &&"),
	core("owner: a range begins to move only once",
		`		case s.entry.Moving:
		case !listed:`,
		"\t\tcase !listed:"),
	core("owner: the ranges of a restarted owner move",
		`		case differentStarts(server.Started, s.entry.Started):
`,
		`		case false:
`),
	core("owner: the ranges of a leaving owner move",
		`		case !server.Usable:
`,
		`		case false:
`),
	core("owner: an entry without a start says nothing of a restart",
		"{ return a != b && a != 0 && b != 0 }",
		"{ return a != b }"),
	core("owner: a freed range has no accepted grant",
		"s.handover, s.leasedUntil, s.granted = handover, leasedUntil, false",
		"s.handover, s.leasedUntil = handover, leasedUntil"),
	core("owner: a freed range waits for the leases that remain",
		"s.handover, s.leasedUntil, s.granted = handover, leasedUntil, false",
		"s.handover, s.leasedUntil, s.granted = handover, 0*leasedUntil, false"),
	core("owner: each move may begin with a confirming grant",
		"s.entry.Moving, s.confirmSent = true, false",
		"s.entry.Moving = true"),
	core("owner: a change of a range is recorded before its next call",
		`	c.version++
	s.version = c.version
`,
		`	c.version++
`),
	core("owner: a range gets an owner only when no lease is left",
		`		if s.entry.Backend == "" && now >= s.leasedUntil {`,
		`		if s.entry.Backend == "" {`),
	core("owner: a new owner gets a new token",
		`	c.fence++
	s.entry.Backend, s.entry.Address`,
		"\ts.entry.Backend, s.entry.Address"),
	core("owner: a new owner is recorded before it gets the range",
		`	c.recordChange(s, ChangeAssigned, now, "")
	c.bumpVersion(s)
`,
		`	c.recordChange(s, ChangeAssigned, now, "")
	c.version++
`),
	core("split: the pieces of a split keep the uncertain grants",
		`		piece := *s
`,
		`		piece := *s
		piece.uncertainUntil = 0
`),
	core("split: the pieces of a split keep the lease",
		`		piece := *s
`,
		`		piece := *s
		piece.leasedUntil = 0
`),
	core("balance: a range with a call in flight is not split",
		"\t\tif s.granted && !s.inFlight {",
		"\t\tif s.granted {"),
	core("balance: nothing moves for balance just after a claim",
		"\tif now < c.settledFrom || now < c.lastBalance",
		"\tif now < c.lastBalance"),
	core("merge: nothing is merged just after a claim",
		`	if now < c.settledFrom {
		return
	}
	ranges`,
		"\tranges"),
	core("merge: ranges of different owners are not merged",
		"|| left.entry.Backend != right.entry.Backend ",
		""),
	core("merge: ranges of different processes are not merged",
		" || left.entry.Started != right.entry.Started {",
		" {"),
	core("merge: a merged range keeps the later lease",
		"joined.leasedUntil = max(left.leasedUntil, right.leasedUntil)",
		"joined.leasedUntil = left.leasedUntil"),
	core("merge: a merged range keeps the uncertain grants of both",
		"joined.uncertainUntil = max(left.uncertainUntil, right.uncertainUntil)",
		"joined.uncertainUntil = left.uncertainUntil"),
	core("merge: a merged range keeps the unanswered grants of both",
		"joined.unansweredUntil = max(left.unansweredUntil, right.unansweredUntil)",
		"joined.unansweredUntil = left.unansweredUntil"),
	core("merge: a merged range has a new token",
		`		c.fence++
		joined.entry.Fence = c.fence
`,
		""),
	core("merge: a merged range is recorded before it is granted",
		`		c.bumpVersion(&joined)
`,
		`		c.version++
`),
	core("merge: a range that is not granted yet is not merged",
		"return s.granted && !s.entry.Moving && !s.inFlight",
		`return s.entry.Backend != "" && !s.entry.Moving && !s.inFlight`),
	core("merge: a moving range is not merged",
		"return s.granted && !s.entry.Moving && !s.inFlight",
		"return s.granted && !s.inFlight"),
	core("merge: a range with a call in flight is not merged",
		"return s.granted && !s.entry.Moving && !s.inFlight",
		"return s.granted && !s.entry.Moving"),
	core("call: a range has one call in flight at most",
		`if s.entry.Backend == "" || s.inFlight || now < s.nextCall`,
		`if s.entry.Backend == "" || now < s.nextCall`),
	core("call: a call is sent only for what is recorded",
		" || s.version > c.accepted {",
		" {"),
	core("call: a release after uncertain grants is preceded by a confirming grant",
		"\tconfirm := s.entry.Moving && !s.confirmSent",
		"\tconfirm := false && !s.confirmSent"),
	core("call: a confirming grant has a token that was never sent",
		"if confirm && s.entry.Fence <= s.uncertainFence {",
		"if false {"),
	core("call: a confirming grant has a token that was never sent, also after an unanswered grant",
		"if confirm && s.entry.Fence <= s.uncertainFence {",
		"if confirm && s.granted {"),
	core("call: the token of a confirming grant is recorded before it is sent",
		`			c.assignNewFence(s) // and grant the range once the token is recorded
			continue
`,
		`			c.assignNewFence(s)
`),
	core("call: one confirming grant is sent for each move",
		"\tconfirm := s.entry.Moving && !s.confirmSent",
		"\tconfirm := s.entry.Moving && now < s.uncertainUntil"),
	core("call: a confirming grant is marked as one",
		`		call.Grant.Confirm = confirm
`,
		""),
	core("call: only a grant with an accepted token is a renewal",
		"\tcall.Grant.Renewal = s.acceptedFence == s.entry.Fence",
		"\tcall.Grant.Renewal = s.acceptedFence > 0"),
	core("call: a renewal is marked as one",
		`	call.Grant.Renewal = s.acceptedFence == s.entry.Fence
`,
		""),
	core("call: a range without an owner gets no calls",
		`		if s.entry.Backend == "" || s.inFlight || now`,
		"\t\tif s.inFlight || now"),
	core("result: keys move at once when another process has the address of their owner",
		`	case errors.Is(err, ErrOtherInstance):
`,
		`	case false:
`),
	core("result: keys do not go back to an owner whose process has ended",
		`		c.avoidUntil[s.entry.Backend] = now + avoidDuration
		c.freeRange`,
		"\t\tc.freeRange"),
	core("result: no lease is waited for after a grant that was not sent",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)",
		"\treturn errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)"),
	core("result: no lease is waited for after a grant that was rejected for its token",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)"),
	core("result: no lease is waited for after a grant whose connection was lost before",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrRejected)"),
	core("result: no lease is waited for after a grant that was rejected",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost) || errors.Is(err, ErrRejected)",
		"\treturn errors.Is(err, ErrNotSent) || errors.Is(err, ErrFenced) || errors.Is(err, ErrSessionLost)"),
	core("result: an accepted grant extends the lease",
		`	s.leasedUntil = max(s.leasedUntil, until)
`,
		`	if err != nil {
		s.leasedUntil = max(s.leasedUntil, until)
	}
`),
	core("result: an unanswered grant extends the lease",
		`	s.leasedUntil = max(s.leasedUntil, until)
`,
		`	if err == nil {
		s.leasedUntil = max(s.leasedUntil, until)
	}
`),
	core("result: a grant does not shorten the time that leases of a predecessor are waited for",
		`	s.leasedUntil = max(s.leasedUntil, until)
`,
		`	s.leasedUntil = until
`),
	core("result: a grant is uncertain, also if it was accepted",
		"\ts.uncertainUntil, s.uncertainFence = max(s.uncertainUntil, until), grant.Fence\n\tif err != nil {\n",
		"\tif err != nil {\n\t\ts.uncertainUntil, s.uncertainFence = max(s.uncertainUntil, until), grant.Fence\n"),
	core("result: the token of an uncertain grant is known",
		"s.uncertainUntil, s.uncertainFence = max(s.uncertainUntil, until), grant.Fence",
		"s.uncertainUntil = max(s.uncertainUntil, until)"),
	core("result: an uncertain grant does not shorten the time that grants of a predecessor are uncertain",
		"max(s.uncertainUntil, until), grant.Fence",
		"until, grant.Fence"),
	core("result: an unanswered grant counts at a resignation",
		"\t\ts.unansweredUntil = max(s.unansweredUntil, until)\n",
		""),
	core("result: an accepted grant does not count at a resignation",
		"\tif err != nil {\n\t\ts.unansweredUntil",
		"\tif true {\n\t\ts.unansweredUntil"),
	core("result: an unanswered grant does not shorten the time that counts at a resignation",
		"\t\ts.unansweredUntil = max(s.unansweredUntil, until)\n",
		"\t\ts.unansweredUntil = until\n"),
	core("result: only a confirming grant ends the uncertainty",
		"if err == nil && grant.Confirm {",
		"if err == nil {"),
	core("result: only an accepted grant ends the uncertainty",
		"if err == nil && grant.Confirm {",
		"if grant.Confirm {"),
	core("result: an accepted confirming grant ends the uncertainty",
		"\t\ts.uncertainUntil, s.unansweredUntil = min(s.uncertainUntil, now), min(s.unansweredUntil, now)\n",
		"\t\ts.unansweredUntil = min(s.unansweredUntil, now)\n"),
	core("result: unanswered grants before a confirming grant do not count at a resignation",
		"\t\ts.uncertainUntil, s.unansweredUntil = min(s.uncertainUntil, now), min(s.unansweredUntil, now)\n",
		"\t\ts.uncertainUntil = min(s.uncertainUntil, now)\n"),
	core("result: the release follows a call in flight at once",
		`		// The range began to move while the call was in flight.
		s.nextCall = now
`,
		`		s.nextCall = now + RenewInterval
`),
	core("result: a moving range keeps its token after a failed grant",
		`	case s.entry.Moving:
		// The range`,
		`	case false:
		// The range`),
	core("result: a renewal that was not sent is followed by a new token",
		`		if s.granted {
			c.assignNewFence(s)
		}
`,
		""),
	core("result: an owner that is not reached gets no further keys",
		`		s.nextCall = now + callRetryInterval
		c.avoidUntil[s.entry.Backend] = now + avoidDuration
`,
		`		s.nextCall = now + callRetryInterval
`),
	core("result: a failed grant is followed by a new token",
		`		// The process may have restarted, or seen a delayed call with a higher token.
		c.assignNewFence(s)
`,
		""),
	core("result: a new token differs from all others",
		`	c.fence++
	s.entry.Fence = c.fence
	s.granted = false`,
		`	s.entry.Fence = c.fence
	s.granted = false`),
	core("result: a range with a new token is not granted yet",
		`	s.entry.Fence = c.fence
	s.granted = false
`,
		`	s.entry.Fence = c.fence
`),
	core("result: a new token is recorded before it is sent",
		`	s.granted = false
	c.bumpVersion(s)
`,
		`	s.granted = false
	c.version++
`),
	core("result: an unanswered release frees nothing",
		`	if err != nil {
		s.nextCall = now + callRetryInterval
		return
	}
	c.freeRange`,
		`	_ = err
	c.freeRange`),
	core("result: a released range waits for uncertain grants",
		`	c.freeRange(s, handover, s.uncertainUntil, now, "released")`,
		`	c.freeRange(s, handover, 0, now, "released")`),
}

// core returns a rule of core.go.
func core(name, old, replacement string) rule {
	return rule{Name: name, File: "internal/keylease/core.go", Old: old, New: replacement, Packages: []string{"./internal/keylease"}}
}
