package cli

import (
	"io"
	"os"

	"fireflyfield/internal/resource"
)

// standardInput is the file name that stands for the standard input.
const standardInput = "-"

// readDocuments decodes a file or the standard input.
func readDocuments(file string, in io.Reader, existing resource.Lookup) (resource.Set, error) {
	if file == standardInput {
		return resource.Decode("standard input", in, existing)
	}
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	return resource.Decode(file, opened, existing)
}
