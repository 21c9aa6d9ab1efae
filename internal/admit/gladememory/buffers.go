package gladememory

import (
	"math/bits"
	"sync"
)

// Buffers of these sizes, which are powers of two, are used again.  Smaller ones are cheap garbage.
const minRecycledBytes, maxRecycledBytes = 32 << 10, 8 << 20

// recycled holds unused buffers by the logarithm of their size.  The garbage collector empties it.
var recycled [bits.UintSize]sync.Pool

// recyclable reports whether buffers of a size are used again.
func recyclable(size int) bool {
	return size >= minRecycledBytes && size <= maxRecycledBytes && size&(size-1) == 0
}

// NewBuffer returns an empty buffer of the given capacity, which may hold old bytes beyond its length.
func NewBuffer(size int) []byte {
	if recyclable(size) {
		if b, ok := recycled[bits.Len(uint(size))].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// Recycle takes back a buffer that nothing uses any more.  The buffers from which a body has grown are as large as the body together;
// as garbage they would let the heap exceed the runtime's limit while many bodies arrive.
func Recycle(b []byte) {
	if recyclable(cap(b)) {
		recycled[bits.Len(uint(cap(b)))].Put(&b)
	}
}
