package prefixindex

import "github.com/cloverrail/cloverrail/internal/prefix"

const (
	// leadingAnchors is the number of blocks at the start of a chain that are all
	// anchors.
	firstAnchors = 4
	// anchorStride is the distance between the anchors after them.
	anchorStride = 8
)

// IsAnchor reports whether the block at a depth, counted from 1, is an anchor,
// which represents the blocks since the previous anchor. A large fleet indexes
// only anchors: all of the first blocks, which short prompts share, and every
// eighth block after them. A depth determined from anchors is at most seven
// blocks too low.
func IsAnchor(depth int) bool {
	return depth <= firstAnchors || depth%anchorStride == 0
}

// Anchors returns the anchors of a chain.
func Anchors(chain []prefix.Hash) []prefix.Hash {
	anchors := make([]prefix.Hash, 0, firstAnchors+len(chain)/anchorStride)
	for index, hash := range chain {
		if IsAnchor(index + 1) {
			anchors = append(anchors, hash)
		}
	}
	return anchors
}

// AnchorDepth returns the depth in blocks of a chain's nth anchor, counted from 1.
func AnchorDepth(place int) int {
	if place <= firstAnchors {
		return place
	}
	return anchorStride * (place - firstAnchors)
}
