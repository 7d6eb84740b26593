package origin

import (
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
	// maxMessageBytes bounds a message, and maxKeysPerMessage the streams that one reports.
	maxMessageBytes   = 64 << 10
	maxKeysPerMessage = 4096
)

// wireRecords reports streams that have the same origin.
type wireRecords struct {
	Format   int
	Service  string
	Software string
	Keys     []uint64
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

func newWireRecords(o Origin, keys []Key) wireRecords {
	records := wireRecords{Format: messageFormat, Service: o.Service, Software: o.Software, Keys: make([]uint64, len(keys))}
	for i, key := range keys {
		records.Keys[i] = uint64(key)
	}
	return records
}

// RecordsHandler returns the handler of the records that other nodes send.
func RecordsHandler(ledger *Ledger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message wireRecords
		if !decode(w, r, &message, &message.Format) {
			return
		}
		if len(message.Keys) > maxKeysPerMessage {
			http.Error(w, "too many streams in one message; send fewer", http.StatusRequestEntityTooLarge)
			return
		}
		now := boottime.Now()
		for _, key := range message.Keys {
			ledger.Learn(Key(key), Origin{Service: message.Service, Software: message.Software}, now)
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
	err := gob.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(message)
	if err == nil {
		err = checkFormat(*format)
	}
	if err != nil {
		http.Error(w, err.Error()+"; run builds that support each other's message formats", http.StatusBadRequest)
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return true
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
