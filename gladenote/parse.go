package gladenote

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// ParseTOML parses a note in TOML. The error wraps ErrInvalid and lists all unknown keys.
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

// ParseJSON parses a note in JSON. The error wraps ErrInvalid; unknown keys are errors too.
func ParseJSON(data []byte) (Note, error) {
	var n Note
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&n); err != nil {
		return n, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return n, nil
}
