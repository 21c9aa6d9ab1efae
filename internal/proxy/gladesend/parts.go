package gladesend

import (
	"slices"
	"sync"
)

// partList keeps the parts of large bodies for reuse.  All have the same size, so that any body can use them; a buffer that grows would
// leave as much garbage as its body occupies.
type partList struct {
	mu sync.Mutex
	// inUse is the number of parts that bodies occupy, and unused are the others.
	inUse  int
	unused [][]byte
}

// take returns an empty part.
func (l *partList) take() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse++
	if last := len(l.unused) - 1; last >= 0 {
		part := l.unused[last]
		l.unused = slices.Delete(l.unused, last, last+1)
		return part
	}
	return make([]byte, 0, bodyPartBytes)
}

// put takes back a part that nothing uses any more.  It keeps at most as many parts as are in use, and none once all bodies are read.
func (l *partList) put(part []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse--
	l.unused = append(l.unused, part[:0])
	if excess := len(l.unused) - l.inUse; excess > 0 {
		l.unused = slices.Delete(l.unused, 0, excess)
	}
}
