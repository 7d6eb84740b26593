// Package standin provides helpers for the HTTP handlers of the stubs.
package standin

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes a value as a JSON response.
func Answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// ReadJSON decodes the JSON body of a request. If it is malformed, ReadJSON responds with
// status 400 and returns false.
func Read[Message any](writer http.ResponseWriter, request *http.Request) (Message, bool) {
	var message Message
	if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return message, false
	}
	return message, true
}
