package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/settings"
)

// minimalSpecs holds the smallest valid spec of each kind; its fields are required
// and have no default.
var minimalSpecs = map[resource.Kind]string{
	resource.KindFailureDomain: `{}`,
	resource.KindService:       `{"key":{"pathSegment":1},"backendServers":[{"name":"e1","address":"h:1","failureDomain":"d"}]}`,
	resource.KindWorkspace:     `{}`,
	resource.KindCallerKey:     `{"workspace":"w","digest":"` + strings.Repeat("00", 32) + `"}`,
	resource.KindRate:          `{"workspace":"w","requestsPerSecond":1,"burst":1}`,
	resource.KindDrain:         `{"failureDomain":"d"}`,
}

var (
	rangePattern      = regexp.MustCompile(`^\S+ to \S+$`)
	rangeFaultPattern = regexp.MustCompile(`is outside (\S+ to \S+)$`)
)

// Guards against a configuration page whose fields, defaults, limits or flags differ
// from the code.
func TestConfigurationPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := tableRows(string(page))
	var known []string
	for kind, sample := range minimalSpecs {
		spec := decodeSpec(t, kind, sample)
		for _, field := range specFields(reflect.ValueOf(spec).Elem(), "spec") {
			key := string(kind) + " " + field.path
			known = append(known, key)
			checkField(t, kind, field, rows[key])
		}
		checkRow(t, rows, string(kind), 1, strconv.Itoa(config.MaxResources(kind)))
		known = append(known, string(kind))
	}
	for _, command := range Commands() {
		known = append(known, checkFlags(t, command.Name(), command.SetFlags, rows)...)
	}
	for key := range rows {
		// Headings of tables start with "kind" or "command".
		if strings.HasPrefix(key, "kind") || strings.HasPrefix(key, "command") || slices.Contains(known, key) {
			continue
		}
		t.Errorf("the page has a row for %q, which the code does not have", key)
	}
	for _, limit := range []string{fmt.Sprintf("%d changes", config.MaxChanges), fmt.Sprintf("%d bytes as a record", config.MaxRecordBytes), fmt.Sprintf("%d bytes together", config.MaxTotalBytes)} {
		if !strings.Contains(string(page), limit) {
			t.Errorf("the page does not contain %q", limit)
		}
	}
}

// tableRows returns the rows of the tables of resources and flags, keyed by the
// first cell of two-column tables and the first two cells of five-column tables.
func tableRows(page string) map[string][]string {
	rows := make(map[string][]string)
	for line := range strings.Lines(page) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case !strings.HasPrefix(line, "|") || strings.HasPrefix(cells[0], "---"):
		case len(cells) == 5:
			rows[cells[0]+" "+cells[1]] = cells
		case len(cells) == 2 && minimalSpecs[resource.Kind(cells[0])] != "":
			rows[cells[0]] = cells
		}
	}
	return rows
}

func checkRow(t *testing.T, rows map[string][]string, key string, column int, want string) {
	t.Helper()
	row, ok := rows[key]
	if !ok {
		t.Errorf("the page has no row for %q", key)
		return
	}
	if row[column] != want {
		t.Errorf("%s: the page says %q, the code %q", key, row[column], want)
	}
}

// specField is one leaf field of a spec, with its dotted path.
type specField struct {
	path  string
	value reflect.Value
}

// specFields returns the leaf fields of v, with one element for each slice of
// structs.
func specFields(v reflect.Value, path string) []specField {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v = reflect.New(v.Type().Elem())
		}
		return specFields(v.Elem(), path)
	}
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		return specFields(v.Index(0), path+"[]")
	}
	if v.Kind() != reflect.Struct {
		return []specField{{path, v}}
	}
	var found []specField
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		found = append(found, specFields(v.Field(i), path+"."+name)...)
	}
	return found
}

func documentJSON(kind resource.Kind, spec string) []byte {
	return fmt.Appendf(nil, `{"apiVersion":"fireflyfield/v1","kind":%q,"metadata":{"name":"x"},"spec":%s}`, kind, spec)
}

func decodeSpec(t *testing.T, kind resource.Kind, spec string) resource.Spec {
	t.Helper()
	r, faults := resource.DecodeDocument(documentJSON(kind, spec), 1)
	if len(faults) > 0 {
		t.Fatal(kind, faults)
	}
	return r.Spec
}

func checkField(t *testing.T, kind resource.Kind, field specField, row []string) {
	t.Helper()
	if row == nil {
		t.Errorf("the page has no row for %s %s", kind, field.path)
		return
	}
	want := defaultText(field.value)
	if isRequired(kind, field.path) {
		want = "required"
	}
	// spec.key.pathSegment is in the minimal spec, but spec.key.header may replace it.
	if row[3] != want && field.path != "spec.key.pathSegment" {
		t.Errorf("%s %s: the page says default %q, the code %q", kind, field.path, row[3], want)
	}
	limits := allowedRange(kind, field)
	if (limits != "" || rangePattern.MatchString(row[4])) && row[4] != limits {
		t.Errorf("%s %s: the page says limits %q, the code %q", kind, field.path, row[4], limits)
	}
}

// isRequired reports whether the field must be given, which is so for the fields of
// the minimal spec. The fields of a Drain's backendServer are never required, because
// it is given instead of the failure domain.
func isRequired(kind resource.Kind, path string) bool {
	name := path[strings.LastIndex(path, ".")+1:]
	return strings.Contains(minimalSpecs[kind], strconv.Quote(name)+":") && !strings.HasPrefix(path, "spec.backendServer.")
}

// defaultText formats a default value as the page does: "-" for none.
func defaultText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case bool:
		return strconv.FormatBool(value)
	case []string:
		if len(value) > 0 {
			return strings.Join(value, " ")
		}
		return "-"
	case resource.Duration:
		return value.Std().String()
	default:
		if v.IsZero() {
			return "-"
		}
		return fmt.Sprint(value)
	}
}

// allowedRange sets the field to a value outside any range, decodes the document and
// returns the range that the reported fault names; empty if the field has none.
func allowedRange(kind resource.Kind, field specField) string {
	invalid := any(-1)
	if _, ok := field.value.Interface().(resource.Duration); ok {
		invalid = "-1ns"
	} else if !field.value.CanInt() && !field.value.CanFloat() {
		return ""
	}
	var spec map[string]any
	if err := json.Unmarshal([]byte(minimalSpecs[kind]), &spec); err != nil {
		panic(err)
	}
	setPath(spec, strings.Split(field.path, ".")[1:], invalid)
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	_, faults := resource.DecodeDocument(documentJSON(kind, string(data)), 1)
	for _, fault := range faults {
		if match := rangeFaultPattern.FindStringSubmatch(fault.Reason); match != nil && fault.Path == field.path {
			return match[1]
		}
	}
	return ""
}

// setPath sets the value at the path and creates missing maps on the way.
func setPath(spec map[string]any, path []string, value any) {
	for _, name := range path[:len(path)-1] {
		inner, ok := spec[name].(map[string]any)
		if !ok {
			inner = make(map[string]any)
			spec[name] = inner
		}
		spec = inner
	}
	spec[path[len(path)-1]] = value
}

// checkFlags compares the flags of a command with the page and returns the keys of
// their rows.
func checkFlags(t *testing.T, command string, setFlags func(*flag.FlagSet), rows map[string][]string) []string {
	t.Helper()
	var keys []string
	fs := flag.NewFlagSet(command, flag.ContinueOnError)
	setFlags(fs)
	fs.VisitAll(func(f *flag.Flag) {
		key := command + " -" + f.Name
		keys = append(keys, key)
		want := f.DefValue
		if want == "" {
			want = "-"
		}
		checkRow(t, rows, key, 2, settings.EnvName(f.Name))
		checkRow(t, rows, key, 3, want)
	})
	return keys
}
