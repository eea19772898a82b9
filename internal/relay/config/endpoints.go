package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"milletsail/internal/endpoints"
)

// endpointsField is the field of a configuration that holds the list of endpoints. The list may be far longer than all else,
// so it is never decoded as a whole.
const endpointsField = "known"

// EndpointSource is the list of endpoints in a configuration file, which is read there once it is needed.
type EndpointSource struct {
	// Path is that of the file; empty for no list.
	Path string
	// Version is that of the list; 0 for none.
	Version int64
}

// Read hands the list to deliver in batches.
func (s EndpointSource) Read(deliver func(endpoints.Batch) error) error {
	if s.Path == "" {
		return nil
	}
	file, err := os.Open(s.Path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return decode(file, new(Config), deliver)
}

// decode decodes a configuration. All fields go into c, but for the list of endpoints, which is handed on in
// batches.
func decode(from io.Reader, c *Config, deliver func(endpoints.Batch) error) error {
	decoder := json.NewDecoder(from)
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return fmt.Errorf("invalid: it begins with %v and is no JSON object", token)
	}
	fields := map[string]json.RawMessage{}
	for decoder.More() {
		if err := decodeField(decoder, fields, deliver); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil { // the object's end
		return unexpectedEnd(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("invalid: there is more behind the JSON object")
	}
	remaining, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(remaining, c)
}

// decodeField decodes a field of a configuration: the list in batches, any other as it stands.
func decodeField(decoder *json.Decoder, fields map[string]json.RawMessage, deliver func(endpoints.Batch) error) error {
	token, err := decoder.Token()
	if err != nil {
		return unexpectedEnd(err)
	}
	name, _ := token.(string)
	if strings.EqualFold(name, endpointsField) { // as encoding/json compares names
		if err := endpoints.ReadObject(decoder, deliver); err != nil {
			return fmt.Errorf("%s: %w", endpointsField, unexpectedEnd(err))
		}
		return nil
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return fmt.Errorf("%s: %w", name, unexpectedEnd(err))
	}
	fields[name] = value
	return nil
}

// unexpectedEnd names an end of the file within the object for what it is.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
