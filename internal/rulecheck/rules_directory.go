package main

const (
	directoryFile = "internal/directory/directory.go"
	followFile    = "internal/directory/follow.go"
)

var directory = []string{"./internal/directory"}

// directoryRules are the rules that tell backend servers that left, whose entries lapsed or that
// started again from each other.
var directoryRules = []rule{
	{"leaving: an entry that is removed without an outage is gone at once", directoryFile, "if d.failedAt != 0 && now-d.failedAt < outageGrace && !known.Draining {\n\t\tif known.ExpiresAt == 0 {\n\t\t\tknown.ExpiresAt = d.failedAt + outageGrace", "if !known.Draining {\n\t\tif known.ExpiresAt == 0 {\n\t\t\tknown.ExpiresAt = now + outageGrace", directory},
	{"leaving: a draining backend server is gone at once", directoryFile, "now-d.failedAt < outageGrace && !known.Draining {", "now-d.failedAt < outageGrace {", directory},
	{"leaving: a failed read soon after a confirmation is no outage", directoryFile, "if failedAt <= d.failedAt || failedAt < d.catalogueConfirmedAt+minOutage {", "if failedAt <= d.failedAt {", directory},
	{"leaving: a failure that only the relay has seen is no outage", directoryFile, "\td.dropUnsharedFailure(info)\n", "", directory},
	{"lapse: a batch that confirms nothing new keeps the failure", directoryFile, "if info.ConfirmedAt > d.catalogueConfirmedAt && d.failedAt", "if d.failedAt", directory},
	{"lapse: a failure before the last confirmation stays", directoryFile, " && d.failedAt > d.catalogueConfirmedAt && info.FailedAt", " && info.FailedAt", directory},
	{"lapse: a failure that the source has seen stays", directoryFile, " && info.FailedAt <= d.catalogueConfirmedAt {", " {", directory},
	{"lapse: an entry that is removed around an outage stays for a while", directoryFile, "if d.failedAt != 0 && now-d.failedAt < outageGrace && !known.Draining {", "if false {", directory},
	{"lapse: the time runs from the failed read", directoryFile, "known.ExpiresAt = d.failedAt + outageGrace", "known.ExpiresAt = now + outageGrace", directory},
	{"lapse: a second removal does not extend it", directoryFile, "if known.ExpiresAt == 0 {", "if true {", directory},
	{"lapse: it ends", directoryFile, "if backend.ExpiresAt != 0 && now >= backend.ExpiresAt {", "if false {", directory},
	{"lapse: entries that are not removed do not expire", directoryFile, "if backend.ExpiresAt != 0 && now >= backend.ExpiresAt {", "if now >= backend.ExpiresAt {", directory},
	{"lapse: a further failed read extends it", directoryFile, "\t\t\tbackend.ExpiresAt = failedAt + outageGrace\n", "", directory},
	{"lapse: a further failed read lets no listed entry expire", directoryFile, "\t\tif backend.ExpiresAt != 0 {\n\t\t\tbackend.ExpiresAt =", "\t\tif true {\n\t\t\tbackend.ExpiresAt =", directory},
	{"lapse: an older failed read does not shorten it", directoryFile, "if failedAt <= d.failedAt || failedAt", "if failedAt", directory},
	{"lapse: a batch that confirms nothing new leaves the time of the last confirmation", directoryFile, "d.catalogueConfirmedAt = max(d.catalogueConfirmedAt, info.ConfirmedAt)", "d.catalogueConfirmedAt = info.ConfirmedAt", directory},
	{"leaving: a backend server that a snapshot lacks", directoryFile, "if !seen[id] {\n\t\t\t\td.removeBackend", "if false {\n\t\t\t\td.removeBackend", directory},
	{"lapse: entries that a restored log lacks count as lapsed", directoryFile, "\tif info.Restored {\n\t\td.failedAt = now\n\t}\n", "", directory},
	{"restart: a late entry of an earlier process is ignored", directoryFile, "if ok && !restored && d.isLate(&known, &change) {", "if false {", directory},
	{"restart: a restored log is told apart from late entries", directoryFile, "if ok && !restored && d.isLate(&known, &change) {", "if ok && d.isLate(&known, &change) {", directory},
	{"restart: a second entry with a lower start is of a clock that was set back", directoryFile, "started >= known.Started || again && before == started {", "started >= known.Started || again && before == started && false {", directory},
	{"restart: only the same lower start counts twice", directoryFile, "again && before == started {", "again && before <= known.Started {", directory},
	{"restart: a current entry between two late ones makes the second late", directoryFile, "\t\tdelete(d.late, change.ID)\n\t\treturn false", "\t\treturn false", directory},
	{"restart: late entries are forgotten when the backend server is gone", directoryFile, "\tdelete(d.late, id)\n\td.noteDeparted(&known, now)", "\td.noteDeparted(&known, now)", directory},
	{"restart: late entries are forgotten when the entry has lapsed", directoryFile, "\t\t\tdelete(d.late, id)\n\t\t\td.noteDeparted(&backend, now)", "\t\t\td.noteDeparted(&backend, now)", directory},
	{"restored log: a process that left is not listed again", directoryFile, "\tif _, gone := d.departed[change.Backend.Process()]; gone {\n\t\treturn true\n\t}\n", "", directory},
	{"restored log: a process whose entry lapsed is not listed again", directoryFile, "\t\t\td.noteDeparted(&backend, now)\n", "", directory},
	{"restored log: an earlier process does not replace a later one", directoryFile, "known.Started > started || ", "", directory},
	{"restored log: a draining process is not ready again", directoryFile, "return ok && (known.Started > started || known.Started == started && known.Draining && !change.Backend.Draining)", "return ok && known.Started > started", directory},
	{"restored log: a later process is listed although an earlier one drained", directoryFile, "known.Started == started && known.Draining", "known.Draining", directory},
	{"restored log: a backend server that writes again is listed", directoryFile, "\tdelete(d.departed, change.Backend.Process())\n", "", directory},
	{"restored log: departures are forgotten", directoryFile, "return now-removedAt > departedRetention", "return false", directory},
	{"restored log: an older entry does not make a cold process warm", directoryFile, "next.ColdUntil = max(next.ColdUntil, known.ColdUntil)", "_ = known.ColdUntil", directory},
	{"restored log: a later process does not inherit a cold start", directoryFile, "if restored && known.Started == next.Started {", "if restored {", directory},

	{"follower: a batch from before the cursor is ignored", followFile, "if f.started && next.Before(f.next) {", "if false {", directory},
	{"follower: the first batch is a snapshot", followFile, "if !f.started || next.Era > f.next.Era {\n\t\t\treturn", "if next.Era > f.next.Era {\n\t\t\treturn", directory},
	{"follower: the first batch of a restored log is a snapshot", followFile, "if !f.started || next.Era > f.next.Era {\n\t\t\treturn", "if !f.started {\n\t\t\treturn", directory},
	{"follower: records before the cursor are left out", followFile, "return r.Offset < f.next.Offset })", "return false })", directory},
	{"follower: a restored log is noticed", followFile, "info.Restored = true", "info.Restored = false", directory},
	{"follower: own records are applied at the cursor only", followFile, "if !f.started || f.next != at {", "if !f.started {", directory},
	{"follower: own records are applied after a snapshot only", followFile, "if !f.started || f.next != at {", "if f.next != at {", directory},
	{"follower: a failed read confirms nothing", followFile, "ConfirmedAt: sentAt - failedReadAge", "ConfirmedAt: sentAt", directory},
	{"follower: a failure stays known after reads succeed", followFile, "f.failing = err != nil\n\tif f.failing {", "f.failing = err != nil\n\tif f.failedAt = 0; f.failing {", directory},
	{"follower: a trimmed topic is read as a snapshot", followFile, "if !errors.Is(err, sharedlog.ErrTrimmed) && !errors.Is(err, sharedlog.ErrRestored) {", "if !errors.Is(err, sharedlog.ErrRestored) {", directory},
	{"follower: a restored topic is read as a snapshot", followFile, "if !errors.Is(err, sharedlog.ErrTrimmed) && !errors.Is(err, sharedlog.ErrRestored) {", "if !errors.Is(err, sharedlog.ErrTrimmed) {", directory},
	{"follower: reads on until the end of the topic", followFile, "elapsed < f.Interval && (!partial || len(batch.Records) == 0) {", "elapsed < f.Interval {", directory},
	{"follower: a part of the topic confirms nothing", followFile, "\t\t\tinfo.ConfirmedAt -= failedReadAge\n", "", directory},
}
