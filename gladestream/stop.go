package gladestream

import "strings"

// StopFilter finds stop strings in a text that arrives in pieces.
// It holds back the end of the text while that may be the start of a stop string.
type StopFilter struct {
	// Stops lists the strings that end the text and are not part of it.
	Stops []string

	held    string
	matched bool
}

// Push adds a piece. It returns the text that cannot be part of a stop string, and whether a stop string was found.
func (f *StopFilter) Push(piece string) (string, bool) {
	if f.matched || len(f.Stops) == 0 {
		return piece, f.matched
	}
	text := f.held + piece
	if at := f.indexStop(text); at >= 0 {
		f.matched = true
		f.held = ""
		return text[:at], true
	}
	keep := f.partialSuffixLen(text)
	f.held = text[len(text)-keep:]
	return text[:len(text)-keep], false
}

// Flush returns the text held back, for a text that ends without a stop string.
func (f *StopFilter) Flush() string {
	text := f.held
	f.held = ""
	return text
}

// indexStop returns the index of the earliest stop string in text, or -1.
func (f *StopFilter) indexStop(text string) int {
	first := -1
	for _, stop := range f.Stops {
		at := strings.Index(text, stop)
		if at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// partialSuffixLen returns the length of the longest suffix of text that begins a stop string.
func (f *StopFilter) partialSuffixLen(text string) int {
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
