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

// endpointsField is the field of the configuration file that holds the endpoint list. The list may be far longer than the rest of
// the file, so it is decoded in batches and never held in memory as a whole.
const endpointsField = "known"

// EndpointSource locates the endpoint list in a configuration file. The list is read from the file when it is needed.
type EndpointSource struct {
	// Path is the path of the configuration file; empty for no list.
	Path string
	// Version is the version of the list; 0 for a list without a version or no list.
	Version int64
}

// Read reads the list and passes it to deliver in batches.
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

// decode decodes a configuration. The endpoint list is passed to deliver in batches; all other fields are stored in c.
func decode(input io.Reader, c *Config, deliver func(endpoints.Batch) error) error {
	decoder := json.NewDecoder(input)
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return fmt.Errorf("invalid: expected a JSON object, got %v", token)
	}
	fields := map[string]json.RawMessage{}
	for decoder.More() {
		if err := decodeField(decoder, fields, deliver); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil { // the closing brace of the object
		return unexpectedEnd(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("invalid: unexpected data after the JSON object")
	}
	remaining, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(remaining, c)
}

// decodeField decodes one field of a configuration. The endpoint list is passed to deliver in batches; the value of any other
// field is stored in fields without decoding it further.
func decodeField(decoder *json.Decoder, fields map[string]json.RawMessage, deliver func(endpoints.Batch) error) error {
	token, err := decoder.Token()
	if err != nil {
		return unexpectedEnd(err)
	}
	name, _ := token.(string)
	if strings.EqualFold(name, endpointsField) { // encoding/json ignores case in field names too
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

// unexpectedEnd replaces io.EOF, which here means that the file ends within the object, by io.ErrUnexpectedEOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
