// Package pimcodec encodes values of a fixed set of types as the name of the type's kind,
// followed by the value in msgpack.
package pimcodec

import (
	"bytes"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Kind maps a type, given by its zero value, to the name that encoded values carry. The
	// name must not change, since it is stored and sent.
	Kind struct {
		Name string
		Zero any
	}

	// Codec encodes and decodes values of the types given to NewCodec.
	Codec struct {
		names map[reflect.Type]string
		types map[string]reflect.Type
	}
)

// NewCodec returns a codec for the given kinds.
func NewCodec(kinds []Kind) *Codec {
	c := &Codec{names: map[reflect.Type]string{}, types: map[string]reflect.Type{}}
	for _, kind := range kinds {
		c.names[reflect.TypeOf(kind.Zero)] = kind.Name
		c.types[kind.Name] = reflect.TypeOf(kind.Zero)
	}
	return c
}

// Encode encodes a value. It fails with UnknownMessage if the value's type is not one of the codec's.
func (c *Codec) Encode(value any) ([]byte, error) {
	name, ok := c.names[reflect.TypeOf(value)]
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "type %T has no registered kind", value)
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	if err := encoder.EncodeString(name); err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode %s: %v", name, err)
	}
	if err := encoder.Encode(value); err != nil {
		return nil, pimcode.New(pimcode.ProgramFailed, "encode %s: %v", name, err)
	}
	return buffer.Bytes(), nil
}

// Decode returns the value, not a pointer to it, that Encode encoded. It fails with
// UnknownMessage if the kind is unknown or the data malformed.
func (c *Codec) Decode(data []byte) (any, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	name, err := decoder.DecodeString()
	if err != nil {
		return nil, pimcode.New(pimcode.UnknownMessage, "decode the kind: %v", err)
	}
	kind, ok := c.types[name]
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "unknown kind %q", name)
	}
	pointer := reflect.New(kind)
	if err := decoder.Decode(pointer.Interface()); err != nil {
		return nil, pimcode.New(pimcode.UnknownMessage, "decode %q: %v", name, err)
	}
	return pointer.Elem().Interface(), nil
}
