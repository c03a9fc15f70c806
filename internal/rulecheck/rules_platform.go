package main

const grantsFile = "platform/grants.go"

var platform = []string{"./platform"}

// platformRules are the rules of calls to backend servers.
var platformRules = []rule{
	{"session: a renewal needs the connection of a grant", grantsFile, "\t\tif s == nil {\n\t\t\treturn nil, keylease.ErrSessionLost\n\t\t}\n", "\t\tif s == nil {\n\t\t\ts = g.newSession()\n\t\t\ts.fences[grant.Fence] = struct{}{}\n\t\t\tg.sessions[target] = s\n\t\t}\n", platform},
	{"session: a renewal needs the connection of its own grant", grantsFile, "if _, granted := s.fences[grant.Fence]; !granted {", "if false {", platform},
	{"session: one dial", grantsFile, "if s.dialed.Swap(true) {", "if false {", platform},
	{"session: one call at a time", grantsFile, "turn: make(chan struct{}, 1)", "turn: make(chan struct{}, 64)", platform},
	{"session: a call that gets no turn was not sent", grantsFile, "return errors.Wrap(keylease.ErrNotSent, \"other calls use the connection\")", "return ctx.Err()", platform},
	{"session: a refusal on a used connection proves nothing", grantsFile, "case status != http.StatusOK && reused:", "case false && reused:", platform},
	{"session: only an accepted grant allows renewals", grantsFile, "\tif err := s.grant(ctx, target, grant); err != nil {\n", "\tg.noteGranted(s, grant.Fence)\n\tif err := s.grant(ctx, target, grant); err != nil {\n", platform},
	{"session: a lost connection is reported as such", grantsFile, "\tcase errors.Is(err, errSecondDial):\n\t\treturn keylease.ErrSessionLost\n", "", platform},
	{"session: closed after a failed call", grantsFile, "\t\tg.closeSession(target, s)\n", "", platform},
	{"session: removed when closed", grantsFile, "\tif g.sessions[target] == s {\n\t\tdelete(g.sessions, target)\n\t}\n", "", platform},
	{"session: closing one leaves its replacement", grantsFile, "if g.sessions[target] == s {", "if true {", platform},
	{"session: its connection is closed with it", grantsFile, "\t\tdelete(g.sessions, target)\n\t}\n\ts.client.CloseIdleConnections()\n", "\t\tdelete(g.sessions, target)\n\t}\n", platform},
	{"session: one a process", grantsFile, "s := g.sessions[target]\n", "target.Started = 0\n\ts := g.sessions[target]\n", platform},
	{"session: forgotten when idle", grantsFile, "if now.Sub(s.lastUsed) > sessionIdleTimeout {", "if false {", platform},

	{"write: none after the limit of the call", grantsFile, "if sendBy := c.sendBy.Load(); sendBy > 0 &&", "if sendBy := c.sendBy.Load(); false &&", platform},
	{"write: a call without a limit is sent", grantsFile, "if sendBy := c.sendBy.Load(); sendBy > 0 &&", "if sendBy := c.sendBy.Load();", platform},
	{"write: each call of a session has its own limit", grantsFile, "\tlimit.Store(int64(sendBy))\n", "\tlimit.CompareAndSwap(0, int64(sendBy))\n", platform},
	{"write: a release has a limit", grantsFile, "ctx = withSendBy(ctx, new(atomic.Int64), grant.SendBy)\n\tstatus, header", "ctx = withSendBy(ctx, new(atomic.Int64), 0)\n\tstatus, header", platform},
	{"write: a confirmation has a limit", grantsFile, "ctx = withSendBy(ctx, new(atomic.Int64), grant.SendBy)\n\t\tstatus, err", "ctx = withSendBy(ctx, new(atomic.Int64), 0)\n\t\tstatus, err", platform},
	{"write: unsent bytes of a closed connection are discarded", grantsFile, "if err := tcp.SetLinger(0); err != nil {", "if err := tcp.SetLinger(-1); err != nil {", platform},
	{"write: never repeated", grantsFile, "\trequest.GetBody = nil\n", "", platform},
	{"write: the instance is named", grantsFile, "\trequest.Header.Set(headerInstance, target.Backend)\n", "", platform},
	{"write: redirects are not followed in a session", grantsFile, "s.client = &http.Client{CheckRedirect: noRedirect,", "s.client = &http.Client{", platform},
	{"write: redirects are not followed on single connections", grantsFile, "\t\tCheckRedirect: noRedirect,\n", "", platform},

	{"confirmation: a connection of its own", grantsFile, "if grant.Confirm {", "if false {", platform},
	{"confirmation and release: a new connection for each", grantsFile, "DisableKeepAlives: true, ", "", platform},

	{"error: a failed dial is a call that was not sent", grantsFile, `return 0, nil, errors.Wrap(keylease.ErrNotSent, opErr.Error())`, `return 0, nil, errors.Wrap(err, "dial")`, platform},
	{"error: only a failed dial proves that nothing was sent", grantsFile, `errors.As(err, &opErr) && opErr.Op == "dial"`, `errors.As(err, &opErr)`, platform},
	{"error: a call after its limit was not sent", grantsFile, "return 0, nil, errors.Wrap(keylease.ErrNotSent, errTooLate.Error())", "return 0, nil, err", platform},
	{"error: a lost answer proves nothing", grantsFile, `return 0, nil, errors.Wrap(err, "send grant or release")`, `return 0, nil, errors.Wrap(keylease.ErrNotSent, "send grant or release")`, platform},
	{"error: a cut answer proves nothing", grantsFile, `return 0, nil, errors.Wrap(err, "read answer to grant or release")`, `return response.StatusCode, response.Header, nil`, platform},
	{"error: 409 is a lower token", grantsFile, "\t\treturn keylease.ErrFenced\n", "\t\treturn errors.New(call)\n", platform},
	{"error: 421 is another process", grantsFile, "\t\treturn keylease.ErrOtherInstance\n", "\t\treturn errors.New(call)\n", platform},
	{"error: 400 is a rejection", grantsFile, "\t\treturn keylease.ErrRejected\n", "\t\treturn errors.New(call)\n", platform},
	{"error: another status proves nothing", grantsFile, `return errors.Errorf("%s: backend server answered with status %d", call, status)`, `return keylease.ErrRejected`, platform},
	{"error: a release returns its handover token and its status", grantsFile, `return header.Get(headerHandover), grantError("release", status)`, `return header.Get(headerHandover), grantError("release", min(status, http.StatusOK))`, platform},
}
