// Package standin holds what the HTTP stand-ins share.
package standin

import (
	"encoding/json"
	"net/http"
)

// Answer writes a value as JSON.
func Answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// Read decodes a request's body, or refuses the request.
func Read[Message any](writer http.ResponseWriter, request *http.Request) (Message, bool) {
	var message Message
	if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return message, false
	}
	return message, true
}
