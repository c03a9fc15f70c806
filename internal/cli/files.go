package cli

import (
	"io"
	"os"

	"fireflyfield/internal/resource"
)

// standardInput is the file name that selects standard input.
const standardInput = "-"

// readDocuments decodes the YAML documents of a file or of standard input. existing
// resolves references to resources outside the file; it may be nil.
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
