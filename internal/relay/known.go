package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"milletsail/internal/endpoints"
)

// knownField is the field of a configuration that holds the list of endpoints. The list may be far longer than all else,
// so it is never decoded as a whole.
const knownField = "known"

// knownList is the list of endpoints in a configuration file, which is read there once it is needed.
type knownList struct {
	path string // of the file; empty for no list
	seq  int64
}

// read hands the list on in batches.
func (k knownList) read(deliver func(endpoints.Batch) error) error {
	if k.path == "" {
		return nil
	}
	file, err := os.Open(k.path)
	if err != nil {
		return err
	}
	defer file.Close()
	return decodeConfig(file, new(Config), deliver)
}

// decodeConfig decodes a configuration. All fields go into c, but for the list of endpoints, which is handed on in
// batches.
func decodeConfig(from io.Reader, c *Config, deliver func(endpoints.Batch) error) error {
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
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("invalid: there is more behind the JSON object")
	}
	rest, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(rest, c)
}

// decodeField decodes a field of a configuration: the list in batches, any other as it stands.
func decodeField(decoder *json.Decoder, fields map[string]json.RawMessage, deliver func(endpoints.Batch) error) error {
	token, err := decoder.Token()
	if err != nil {
		return unexpectedEnd(err)
	}
	name, _ := token.(string)
	if strings.EqualFold(name, knownField) { // as encoding/json compares names
		if err := endpoints.ReadObject(decoder, deliver); err != nil {
			return fmt.Errorf("%s: %w", knownField, unexpectedEnd(err))
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
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
