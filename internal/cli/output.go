package cli

import (
	"encoding/json"
	"io"
	"slices"
	"strings"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/goccy/go-yaml"
)

// The output formats of -o.
const (
	formatTable = "table"
	formatYAML  = "yaml"
	formatJSON  = "json"
)

// checkFormat returns a fault if the format of -o is not allowed.
func checkFormat(format string, allowed ...string) []string {
	if slices.Contains(allowed, format) {
		return nil
	}
	return []string{"-o must be one of " + strings.Join(allowed, ", ")}
}

func printResources(out io.Writer, format string, items []resource.Resource) error {
	switch format {
	case formatYAML:
		return printYAML(out, items)
	case formatJSON:
		return printJSON(out, items)
	default:
		return printTable(out, resourceTable(items))
	}
}

func printOverview(out io.Writer, format string, overview api.Overview) error {
	switch format {
	case formatYAML:
		data, err := yaml.MarshalWithOptions(overview, yaml.UseJSONMarshaler())
		if err != nil {
			return err
		}
		_, err = out.Write(data)
		return err
	case formatJSON:
		return printJSON(out, overview)
	default:
		return printOverviewTables(out, overview)
	}
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printYAML writes documents that apply accepts as input.
func printYAML(out io.Writer, items []resource.Resource) error {
	for _, item := range items {
		data, err := yaml.Marshal(item.Document())
		if err != nil {
			return err
		}
		if _, err := out.Write(append([]byte("---\n"), data...)); err != nil {
			return err
		}
	}
	return nil
}
