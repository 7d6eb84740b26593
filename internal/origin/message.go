package origin

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

const (
	// PathRecords is the path at which a node accepts records of streams, and PathLookup that at which it
	// answers which origin a stream has.
	PathRecords = "/origins"
	PathLookup  = "/origin"

	// messageFormat is the version of the message format. Within a version, fields are only added.
	messageFormat = 1
	// MaxMessageBytes bounds a message, and maxKeysPerMessage the streams that one reports.
	MaxMessageBytes   = 64 << 10
	maxKeysPerMessage = 4096
	keyBytes          = 8
)

// records reports streams that have the same origin. It is encoded as a sequence of gob values, since
// gob's description of a struct is longer than the rest of the message.
type records struct {
	origin Origin
	keys   []Key
}

// encode returns the encoding of the records.
func (r records) encode() ([]byte, error) {
	keys := make([]byte, 0, keyBytes*len(r.keys))
	for _, key := range r.keys {
		keys = binary.LittleEndian.AppendUint64(keys, uint64(key))
	}
	var body bytes.Buffer
	encoder := gob.NewEncoder(&body)
	for _, value := range []any{messageFormat, r.origin.Service, r.origin.Software, keys} {
		if err := encoder.Encode(value); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return body.Bytes(), nil
}

// decodeRecords decodes records.
func decodeRecords(reader io.Reader) (records, error) {
	decoder := gob.NewDecoder(reader)
	var format int
	var r records
	var keys []byte
	if err := decoder.Decode(&format); err != nil {
		return records{}, errors.Trace(err)
	}
	if err := checkFormat(format); err != nil {
		return records{}, err
	}
	for _, value := range []any{&r.origin.Service, &r.origin.Software, &keys} {
		if err := decoder.Decode(value); err != nil {
			return records{}, errors.Trace(err)
		}
	}
	if len(keys)%keyBytes != 0 {
		return records{}, errors.New("the keys are truncated")
	}
	for ; len(keys) > 0; keys = keys[keyBytes:] {
		r.keys = append(r.keys, Key(binary.LittleEndian.Uint64(keys)))
	}
	return r, nil
}

// wireLookup asks for the origin of a stream.
type wireLookup struct {
	Format int
	Key    uint64
}

// wireOrigin answers a wireLookup.
type wireOrigin struct {
	Format   int
	Found    bool
	Service  string
	Software string
}

// RecordsHandler returns the handler of the records that other nodes send.
func RecordsHandler(ledger *Ledger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		received, err := decodeRecords(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
		if err != nil {
			reject(w, err)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		now := boottime.Now()
		for _, key := range received.keys {
			ledger.Learn(key, received.origin, now)
		}
		omitHeaders(w)
		w.WriteHeader(http.StatusNoContent)
	}
}

// LookupHandler returns the handler of other nodes' lookups.
func LookupHandler(ledger *Ledger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message wireLookup
		if !decode(w, r, &message, &message.Format) {
			return
		}
		found, known := ledger.Lookup(Key(message.Key), boottime.Now())
		omitHeaders(w)
		_ = gob.NewEncoder(w).Encode(wireOrigin{Format: messageFormat, Found: known, Service: found.Service, Software: found.Software})
	}
}

// decode decodes a message and checks its format. If it returns false, it has responded.
func decode(w http.ResponseWriter, r *http.Request, message any, format *int) bool {
	err := gob.NewDecoder(http.MaxBytesReader(w, r.Body, MaxMessageBytes)).Decode(message)
	if err == nil {
		err = checkFormat(*format)
	}
	if err != nil {
		reject(w, err)
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// reject responds to a message that cannot be decoded.
func reject(w http.ResponseWriter, err error) {
	http.Error(w, err.Error()+"; run builds that support each other's message formats", http.StatusBadRequest)
}

// checkFormat rejects a message whose format this build does not know.
func checkFormat(format int) error {
	if format < 1 || format > messageFormat {
		return errors.Errorf("message has format %d, and this node reads up to %d", format, messageFormat)
	}
	return nil
}

// omitHeaders leaves out the headers that other nodes do not need.
func omitHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}
