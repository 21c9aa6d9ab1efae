package gladestream

import "strings"

// StopFilter finds stop strings in a text that comes in pieces; it holds back what may be the start of one.
type StopFilter struct {
	// Stops are the strings that end the text and are not part of it.
	Stops []string

	held    string
	matched bool
}

// Push adds a piece and returns the text that is certain, and whether a stop string has ended it.
func (f *StopFilter) Push(piece string) (string, bool) {
	if f.matched || len(f.Stops) == 0 {
		return piece, f.matched
	}
	text := f.held + piece
	if at := f.find(text); at >= 0 {
		f.matched = true
		f.held = ""
		return text[:at], true
	}
	keep := f.partial(text)
	f.held = text[len(text)-keep:]
	return text[:len(text)-keep], false
}

// Flush returns the text that was held back, for when the text ends otherwise.
func (f *StopFilter) Flush() string {
	text := f.held
	f.held = ""
	return text
}

// find returns where the first stop string begins, or -1.
func (f *StopFilter) find(text string) int {
	first := -1
	for _, stop := range f.Stops {
		at := strings.Index(text, stop)
		if at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// partial returns the length of the longest end of text that begins a stop string.
func (f *StopFilter) partial(text string) int {
	longest := 0
	for _, stop := range f.Stops {
		for n := min(len(stop)-1, len(text)); n > longest; n-- {
			if strings.HasSuffix(text, stop[:n]) {
				longest = n
			}
		}
	}
	return longest
}
