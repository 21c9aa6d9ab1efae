package gladenote

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// ParseTOML reads a note written in TOML and returns all unknown keys at once.
func ParseTOML(data []byte) (Note, error) {
	var n Note
	meta, err := toml.Decode(string(data), &n)
	if err != nil {
		return n, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%w: unknown key %s", ErrInvalid, key))
	}
	return n, errors.Join(errs...)
}

// ParseJSON reads a note written in JSON.
func ParseJSON(data []byte) (Note, error) {
	var n Note
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&n); err != nil {
		return n, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return n, nil
}
