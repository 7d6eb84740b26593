package admission

import (
	"bytes"
	"io"
	"sync"
)

// blockSize is the size of the blocks into which a body of unknown length is read beyond FreeResponseBytes.
const blockSize = 64 << 10

// blocks holds blocks that are not in use, so that bodies which are given up leave no garbage behind.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// Blocks holds a body that was read whole, in parts. It is not safe for concurrent use.
type Blocks struct {
	// parts holds first what is read beside the blocks.
	parts [][]byte
	size  int64
}

// ReadBlocks reads a body whole. The hold has each block before it is filled, and keeps them when the body has been read. The
// error is ResponseTooLarge if the hold does not get them, or if more is left once maxBytes have been exceeded.
func ReadBlocks(body io.Reader, maxBytes int64, hold *ResponseHold) (*Blocks, error) {
	first, err := io.ReadAll(io.LimitReader(body, FreeResponseBytes))
	read := &Blocks{parts: [][]byte{first}, size: int64(len(first))}
	if err != nil || len(first) < FreeResponseBytes {
		return read, err
	}
	for err == nil {
		if err = read.fill(body, maxBytes, hold); err == io.EOF {
			return read, nil
		}
	}
	read.Release()
	return nil, err
}

// fill reads one more block.
func (b *Blocks) fill(body io.Reader, maxBytes int64, hold *ResponseHold) error {
	if b.size > maxBytes {
		return &ResponseTooLarge{Bound: BoundBody, Limit: maxBytes}
	}
	if err := hold.Resize(b.size + blockSize); err != nil {
		return err
	}
	part, err := fillBlock(body, blocks.Get().(*[blockSize]byte)[:])
	b.parts, b.size = append(b.parts, part), b.size+int64(len(part))
	return err
}

// Size returns the number of bytes.
func (b *Blocks) Size() int64 { return b.size }

// Reader returns a reader of the bytes, which must not be used after Release.
func (b *Blocks) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.parts))
	for _, part := range b.parts {
		readers = append(readers, bytes.NewReader(part))
	}
	return io.MultiReader(readers...)
}

// Release returns the blocks for further use. Further calls have no effect.
func (b *Blocks) Release() {
	if len(b.parts) == 0 {
		return
	}
	for _, part := range b.parts[1:] {
		blocks.Put((*[blockSize]byte)(part[:blockSize]))
	}
	b.parts = nil
}

// fillBlock reads until the block is full, and returns what it has read. The error is that of the body: unlike
// io.ReadFull, it tells the end of the body from a body that was broken off.
func fillBlock(body io.Reader, block []byte) ([]byte, error) {
	filled := 0
	for filled < len(block) {
		n, err := body.Read(block[filled:])
		filled += n
		if err != nil {
			return block[:filled], err
		}
	}
	return block, nil
}
