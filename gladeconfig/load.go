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

// ErrInvalid is matched by every complaint about settings.
var ErrInvalid = eris.New("invalid settings")

// Complaint is one thing that is wrong with the settings.
type Complaint struct {
	Key string
	// Line is where the key stands, or 0 if the settings do not have it.
	Line    int
	Message string
}

// Error returns the line, the key and the message.
func (c *Complaint) Error() string {
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
func (c *Complaint) Is(target error) bool {
	return target == ErrInvalid
}

// Load reads a file of settings and returns all complaints at once.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(string(data))
}

// Parse reads settings over the defaults of their profile and returns all complaints at once.
func Parse(text string) (Settings, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return Settings{}, syntaxError(err)
	}
	l := loader{lines: keyLines(text)}
	l.settings = l.profile(tree)
	l.walk(nil, tree)
	l.settings.checkSections(func(key, format string, args ...any) {
		l.complain(key, fmt.Sprintf(format, args...))
	})
	return l.settings, l.err()
}

func syntaxError(err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return &Complaint{Line: p.Position.Line, Message: p.Message}
	}
	return &Complaint{Message: err.Error()}
}

// loader decodes one key after another, so that a wrong one does not hide the next.
type loader struct {
	settings   Settings
	lines      map[string]int
	complaints []*Complaint
}

func (l *loader) complain(key, message string) {
	l.complaints = append(l.complaints, &Complaint{Key: key, Line: l.lines[key], Message: message})
}

func (l *loader) profile(tree map[string]any) Settings {
	name, ok := tree["profile"].(string)
	if !ok {
		name = ProfileNileFixer
	}
	s, err := Profile(name)
	if err != nil {
		l.complain("profile", err.Error())
	}
	return s
}

func (l *loader) walk(path []string, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		l.leaf(path, value)
		return
	}
	for key, v := range table {
		l.walk(append(slices.Clone(path), key), v)
	}
}

func (l *loader) leaf(path []string, value any) {
	key := strings.Join(path, ".")
	for _, name := range slices.Backward(path) {
		value = map[string]any{name: value}
	}
	document, err := toml.Marshal(value)
	if err != nil {
		l.complain(key, err.Error())
		return
	}
	meta, err := toml.Decode(string(document), &l.settings)
	if err != nil {
		l.complain(key, wrongValue(err))
		return
	}
	if len(meta.Undecoded()) > 0 {
		l.complain(key, "unknown key")
	}
}

func wrongValue(err error) string {
	var p toml.ParseError
	if errors.As(err, &p) {
		return p.Message
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}

func (l *loader) err() error {
	slices.SortStableFunc(l.complaints, func(a, b *Complaint) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	errs := make([]error, len(l.complaints))
	for i, c := range l.complaints {
		errs[i] = c
	}
	return errors.Join(errs...)
}

// keyLines returns the line of each key and table of a settings file, counted from 1.
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
