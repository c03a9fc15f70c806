package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// edited returns the contents of the rule's file without the rule. root is the directory of the
// module.
func (r *rule) edited(root string) (string, error) {
	content, err := os.ReadFile(filepath.Join(root, r.File))
	if err != nil {
		return "", errors.Wrap(err, "read the file of the rule")
	}
	if n := strings.Count(string(content), r.Old); n != 1 {
		return "", errors.Errorf("%s: the text of the rule occurs %d times", r.File, n)
	}
	return strings.Replace(string(content), r.Old, r.New, 1), nil
}

// writeOverlay writes the edited file and an overlay for the go command to dir, and returns the
// path of the overlay.
func (r *rule) writeOverlay(root, dir string) (string, error) {
	content, err := r.edited(root)
	if err != nil {
		return "", err
	}
	edited, overlay := filepath.Join(dir, filepath.Base(r.File)), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(edited, []byte(content), 0o600); err != nil {
		return "", errors.Wrap(err, "write the edited file")
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {filepath.Join(root, r.File): edited}})
	if err != nil {
		return "", errors.Wrap(err, "encode the overlay")
	}
	if err := os.WriteFile(overlay, list, 0o600); err != nil {
		return "", errors.Wrap(err, "write the overlay")
	}
	return overlay, nil
}
