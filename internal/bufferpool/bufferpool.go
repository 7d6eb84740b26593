// Package bufferpool keeps buffers that are not in use, so that responses which are given up leave little garbage behind.
package bufferpool

import (
	"math/bits"
	"sync"
)

// maxSizeClass is the binary logarithm of MaxBytes.
const maxSizeClass = 20

// MaxBytes is the size of the largest buffers in bytes.
const MaxBytes = 1 << maxSizeClass

// unused holds the buffers that are not in use, by the binary logarithm of their size.
var unused [maxSizeClass + 1]sync.Pool

func sizeClass(bytes int) int { return bits.Len(uint(bytes - 1)) }

// Size returns the size of the buffer that Get returns for a number of bytes: the next power of two.
func Size(bytes int) int { return 1 << sizeClass(bytes) }

// Get returns an empty buffer with room for at least a number of bytes, which must be positive and at most MaxBytes.
func Get(bytes int) []byte {
	class := sizeClass(bytes)
	if buffer, found := unused[class].Get().(*[]byte); found {
		return (*buffer)[:0]
	}
	return make([]byte, 0, 1<<class)
}

// Put takes a buffer back that is not used any more. Those that are not of Get are left to the garbage collector.
func Put(buffer []byte) {
	if size := cap(buffer); size > 0 && size <= MaxBytes && size == Size(size) {
		unused[sizeClass(size)].Put(&buffer)
	}
}
