package prefixindex

import "github.com/cloverrail/cloverrail/internal/prefix"

const (
	// firstAnchors blocks of a chain are all anchors.
	firstAnchors = 4
	// anchorStride is the distance of the anchors after them.
	anchorStride = 8
)

// IsAnchor reports whether the block at a depth, counted from 1, stands for
// those since the anchor before it. A large fleet indexes anchors alone: all of
// the first blocks, which short prompts share, and every eighth after them. A
// depth found through anchors is at most seven blocks too low.
func IsAnchor(depth int) bool {
	return depth <= firstAnchors || depth%anchorStride == 0
}

// Anchors picks a chain's anchors.
func Anchors(chain []prefix.Hash) []prefix.Hash {
	anchors := make([]prefix.Hash, 0, firstAnchors+len(chain)/anchorStride)
	for index, hash := range chain {
		if IsAnchor(index + 1) {
			anchors = append(anchors, hash)
		}
	}
	return anchors
}

// AnchorDepth is the depth in blocks of the anchor at a place, counted from 1.
func AnchorDepth(place int) int {
	if place <= firstAnchors {
		return place
	}
	return anchorStride * (place - firstAnchors)
}
