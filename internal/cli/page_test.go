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

// samples is the least document of each kind; its fields have no default.
var samples = map[resource.Kind]string{
	resource.KindFailureDomain: `{}`,
	resource.KindService:       `{"key":{"pathSegment":1},"backendServers":[{"name":"e1","address":"h:1","failureDomain":"d"}]}`,
	resource.KindWorkspace:     `{}`,
	resource.KindCallerKey:     `{"workspace":"w","digest":"` + strings.Repeat("00", 32) + `"}`,
	resource.KindRate:          `{"workspace":"w","requestsPerSecond":1,"burst":1}`,
	resource.KindDrain:         `{"failureDomain":"d"}`,
}

var (
	rangePattern = regexp.MustCompile(`^\S+ to \S+$`)
	faultPattern = regexp.MustCompile(`is outside (\S+ to \S+)$`)
)

// Guards against a page that names other fields, defaults, limits or settings than
// the code has.
func TestConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := tableRows(string(page))
	var known []string
	for kind, sample := range samples {
		spec := decodeSpec(t, kind, sample)
		for _, field := range leaves(reflect.ValueOf(spec).Elem(), "spec") {
			key := string(kind) + " " + field.path
			known = append(known, key)
			checkField(t, kind, field, rows[key])
		}
		checkRow(t, rows, string(kind), 1, strconv.Itoa(config.MaxResources(kind)))
		known = append(known, string(kind))
	}
	for _, command := range Commands() {
		known = append(known, checkSettings(t, command.Name(), command.SetFlags, rows)...)
	}
	for key := range rows {
		if strings.HasPrefix(key, "kind") || strings.HasPrefix(key, "command") || slices.Contains(known, key) {
			continue
		}
		t.Errorf("the page has a row for %q, which the code does not have", key)
	}
	for _, limit := range []string{fmt.Sprintf("%d changes", config.MaxChanges), fmt.Sprintf("%d bytes as a record", config.MaxRecordBytes), fmt.Sprintf("%d bytes together", config.MaxTotalBytes)} {
		if !strings.Contains(string(page), limit) {
			t.Errorf("the page lacks %q", limit)
		}
	}
}

// tableRows returns the rows of the tables on resources and settings by their first
// one or two cells.
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
		case len(cells) == 2 && samples[resource.Kind(cells[0])] != "":
			rows[cells[0]] = cells
		}
	}
	return rows
}

func checkRow(t *testing.T, rows map[string][]string, key string, column int, want string) {
	t.Helper()
	row, ok := rows[key]
	if !ok {
		t.Errorf("the page lacks a row for %q", key)
		return
	}
	if row[column] != want {
		t.Errorf("%s: the page says %q, the code %q", key, row[column], want)
	}
}

// leaf is one field of a spec.
type leaf struct {
	path  string
	value reflect.Value
}

func leaves(v reflect.Value, path string) []leaf {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v = reflect.New(v.Type().Elem())
		}
		return leaves(v.Elem(), path)
	}
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		return leaves(v.Index(0), path+"[]")
	}
	if v.Kind() != reflect.Struct {
		return []leaf{{path, v}}
	}
	var found []leaf
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		found = append(found, leaves(v.Field(i), path+"."+name)...)
	}
	return found
}

func document(kind resource.Kind, spec string) []byte {
	return fmt.Appendf(nil, `{"apiVersion":"fireflyfield/v1","kind":%q,"metadata":{"name":"x"},"spec":%s}`, kind, spec)
}

func decodeSpec(t *testing.T, kind resource.Kind, spec string) resource.Spec {
	t.Helper()
	r, faults := resource.DecodeDocument(document(kind, spec), 1)
	if len(faults) > 0 {
		t.Fatal(kind, faults)
	}
	return r.Spec
}

func checkField(t *testing.T, kind resource.Kind, field leaf, row []string) {
	t.Helper()
	if row == nil {
		t.Errorf("the page lacks a row for %s %s", kind, field.path)
		return
	}
	want := defaultText(field.value)
	if inSample(kind, field.path) {
		want = "required"
	}
	if row[3] != want && field.path != "spec.key.pathSegment" {
		t.Errorf("%s %s: the page says default %q, the code %q", kind, field.path, row[3], want)
	}
	limits := rangeInCode(kind, field)
	if (limits != "" || rangePattern.MatchString(row[4])) && row[4] != limits {
		t.Errorf("%s %s: the page says limits %q, the code %q", kind, field.path, row[4], limits)
	}
}

func inSample(kind resource.Kind, path string) bool {
	name := path[strings.LastIndex(path, ".")+1:]
	return strings.Contains(samples[kind], strconv.Quote(name)+":") && !strings.HasPrefix(path, "spec.backendServer.")
}

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

// rangeInCode sets the field to a value that no range includes and returns the
// range that the fault names.
func rangeInCode(kind resource.Kind, field leaf) string {
	bad := any(-1)
	if _, ok := field.value.Interface().(resource.Duration); ok {
		bad = "-1ns"
	} else if !field.value.CanInt() && !field.value.CanFloat() {
		return ""
	}
	var spec map[string]any
	if err := json.Unmarshal([]byte(samples[kind]), &spec); err != nil {
		panic(err)
	}
	set(spec, strings.Split(field.path, ".")[1:], bad)
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	_, faults := resource.DecodeDocument(document(kind, string(data)), 1)
	for _, fault := range faults {
		if match := faultPattern.FindStringSubmatch(fault.Reason); match != nil && fault.Path == field.path {
			return match[1]
		}
	}
	return ""
}

func set(spec map[string]any, path []string, value any) {
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

func checkSettings(t *testing.T, command string, setFlags func(*flag.FlagSet), rows map[string][]string) []string {
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
