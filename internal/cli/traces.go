package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/replay"
	"fireflyfield/internal/report"
	"fireflyfield/internal/trace"
)

// readTraces merges the events of the files. A last line cut short, as a recording
// process leaves it when it is killed, is reported on standard error and is not a
// failure.
func readTraces(files []string, streams Streams) ([]trace.Event, error) {
	readers := make([]*trace.Reader, 0, len(files))
	for _, file := range files {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer opened.Close()
		readers = append(readers, trace.NewReader(opened, trace.ReaderOptions{File: file}))
	}
	events, err := trace.MergeAll(readers...)
	if errors.Is(err, trace.ErrTruncated) {
		fmt.Fprintf(streams.Err, "%s: %v\n", program, err)
		err = nil
	}
	return events, err
}

// objectivesOf returns the objectives of the example from which the events were
// recorded. For other configurations it returns nil, so that the default
// objectives apply.
func objectivesOf(events []trace.Event) (report.Objectives, error) {
	example, err := replay.ExampleOf(events)
	if err != nil {
		return nil, nil
	}
	resources, err := dev.Resources(example)
	return report.ObjectivesOf(resources), err
}
