package gladeconfig

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// ErrInvalid matches every error in the content of settings.
var ErrInvalid = eris.New("invalid settings")

// SettingError is an error in the settings.
type SettingError struct {
	// Key is the dotted path of the setting, empty for a syntax error.
	Key string
	// Line is the line of the key, counted from 1, or 0 if the file does not contain the key.
	Line    int
	Message string
}

// Error returns the line and the key, if they are known, and the message.
func (c *SettingError) Error() string {
	text := c.Message
	if c.Key != "" {
		text = c.Key + ": " + text
	}
	if c.Line > 0 {
		text = fmt.Sprintf("line %d: %s", c.Line, text)
	}
	return text
}

// Is reports whether the target is ErrInvalid.
func (c *SettingError) Is(target error) bool {
	return target == ErrInvalid
}

// Load parses the settings file at path. It returns all errors at once.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(string(data))
}

// Parse parses settings that override the defaults of their profile. It returns all errors at once.
func Parse(text string) (Settings, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return Settings{}, syntaxError(err)
	}
	l := loader{lines: keyLines(text)}
	l.settings = l.profile(tree)
	l.walk(nil, tree)
	l.settings.checkSections(func(key, format string, args ...any) {
		l.report(key, fmt.Sprintf(format, args...))
	})
	return l.settings, l.err()
}

func syntaxError(err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return &SettingError{Line: p.Position.Line, Message: p.Message}
	}
	return &SettingError{Message: err.Error()}
}

// loader decodes each key separately, so that an invalid value does not hide errors in later keys.
type loader struct {
	settings Settings
	lines    map[string]int
	problems []*SettingError
}

func (l *loader) report(key, message string) {
	l.problems = append(l.problems, &SettingError{Key: key, Line: l.lines[key], Message: message})
}

func (l *loader) profile(tree map[string]any) Settings {
	name, ok := tree["profile"].(string)
	if !ok {
		name = ProfileNileFixer
	}
	s, err := Profile(name)
	if err != nil {
		l.report("profile", err.Error())
	}
	return s
}

func (l *loader) walk(path []string, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		l.decodeLeaf(path, value)
		return
	}
	for key, v := range table {
		l.walk(append(slices.Clone(path), key), v)
	}
}

func (l *loader) decodeLeaf(path []string, value any) {
	key := strings.Join(path, ".")
	for _, name := range slices.Backward(path) {
		value = map[string]any{name: value}
	}
	document, err := toml.Marshal(value)
	if err != nil {
		l.report(key, err.Error())
		return
	}
	meta, err := toml.Decode(string(document), &l.settings)
	if err != nil {
		l.report(key, valueError(err))
		return
	}
	if len(meta.Undecoded()) > 0 {
		l.report(key, "unknown key")
	}
}

func valueError(err error) string {
	var p toml.ParseError
	if errors.As(err, &p) {
		return p.Message
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

func (l *loader) err() error {
	slices.SortStableFunc(l.problems, func(a, b *SettingError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	errs := make([]error, len(l.problems))
	for i, c := range l.problems {
		errs[i] = c
	}
	return errors.Join(errs...)
}

// keyLines returns the line number of each key and table of a settings file, counted from 1.
func keyLines(text string) map[string]int {
	lines := map[string]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			header, _, _ := strings.Cut(line, "]")
			section = strings.TrimSpace(strings.Trim(header, "["))
			lines[section] = i + 1
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		key = strings.TrimSpace(key)
		if section != "" {
			key = section + "." + key
		}
		lines[key] = i + 1
	}
	return lines
}
