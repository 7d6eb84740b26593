package origin

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// maxArchivedOrigins bounds the origins of one entry or message: services times software versions.
const maxArchivedOrigins = 4096

// openReport reports the open streams of a node to the relay that archives them. A later report of the node has
// a greater sequence number.
type openReport struct {
	node     string
	sequence uint64
	streams  map[Key]Origin
}

// encode returns the encoding of the report.
func (r openReport) encode() ([]byte, error) {
	var body bytes.Buffer
	encoder := gob.NewEncoder(&body)
	for _, value := range []any{messageFormat, r.node, r.sequence} {
		if err := encoder.Encode(value); err != nil {
			return nil, errors.Trace(err)
		}
	}
	err := encodeStreams(encoder, r.streams)
	return body.Bytes(), err
}

// decodeReport decodes a report.
func decodeReport(reader io.Reader) (openReport, error) {
	decoder := gob.NewDecoder(reader)
	r := openReport{}
	if err := decodeFormat(decoder); err != nil {
		return r, err
	}
	for _, value := range []any{&r.node, &r.sequence} {
		if err := decoder.Decode(value); err != nil {
			return r, errors.Trace(err)
		}
	}
	streams, err := decodeStreams(decoder)
	r.streams = streams
	return r, err
}

// encodeEntry returns the value of an archive entry.
func encodeEntry(streams map[Key]Origin) ([]byte, error) {
	var value bytes.Buffer
	encoder := gob.NewEncoder(&value)
	if err := encoder.Encode(messageFormat); err != nil {
		return nil, errors.Trace(err)
	}
	err := encodeStreams(encoder, streams)
	return value.Bytes(), err
}

// decodeEntry decodes the value of an archive entry.
func decodeEntry(value []byte) (map[Key]Origin, error) {
	decoder := gob.NewDecoder(bytes.NewReader(value))
	if err := decodeFormat(decoder); err != nil {
		return nil, err
	}
	return decodeStreams(decoder)
}

func decodeFormat(decoder *gob.Decoder) error {
	var format int
	if err := decoder.Decode(&format); err != nil {
		return errors.Trace(err)
	}
	return checkFormat(format)
}

// encodeStreams encodes the number of origins, and for each its service, software version and streams.
func encodeStreams(encoder *gob.Encoder, streams map[Key]Origin) error {
	byOrigin := map[Origin][]byte{}
	for key, o := range streams {
		byOrigin[o] = binary.LittleEndian.AppendUint64(byOrigin[o], uint64(key))
	}
	if err := encoder.Encode(len(byOrigin)); err != nil {
		return errors.Trace(err)
	}
	for _, o := range slices.SortedFunc(maps.Keys(byOrigin), compareOrigins) {
		for _, value := range []any{o.Service, o.Software, byOrigin[o]} {
			if err := encoder.Encode(value); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func compareOrigins(a, b Origin) int {
	if order := strings.Compare(a.Service, b.Service); order != 0 {
		return order
	}
	return strings.Compare(a.Software, b.Software)
}

func decodeStreams(decoder *gob.Decoder) (map[Key]Origin, error) {
	var count int
	if err := decoder.Decode(&count); err != nil {
		return nil, errors.Trace(err)
	}
	if count < 0 || count > maxArchivedOrigins {
		return nil, errors.Errorf("%d origins, at most %d are allowed", count, maxArchivedOrigins)
	}
	streams := map[Key]Origin{}
	for range count {
		var o Origin
		var keys []byte
		for _, value := range []any{&o.Service, &o.Software, &keys} {
			if err := decoder.Decode(value); err != nil {
				return nil, errors.Trace(err)
			}
		}
		if len(keys)%keyBytes != 0 {
			return nil, errors.New("the keys are truncated")
		}
		for ; len(keys) > 0; keys = keys[keyBytes:] {
			addStream(streams, Key(binary.LittleEndian.Uint64(keys)), o)
		}
	}
	return streams, nil
}

// addStream adds a stream. One that is added with two origins has none: two tries of the caller had the same ID.
func addStream(streams map[Key]Origin, key Key, o Origin) {
	if known, found := streams[key]; found && known != o {
		o = Origin{}
	}
	streams[key] = o
}
