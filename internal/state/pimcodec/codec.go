// Package pimcodec encodes values of a closed set of types as a kind name and a msgpack body.
package pimcodec

import (
	"bytes"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Kind is one row of a codec's table: a stable name and a zero value of the type.
	Kind struct {
		Name string
		Zero any
	}

	// Codec encodes and decodes the types of its table.
	Codec struct {
		names map[reflect.Type]string
		types map[string]reflect.Type
	}
)

// NewCodec builds a codec from its table.
func NewCodec(kinds []Kind) *Codec {
	c := &Codec{names: map[reflect.Type]string{}, types: map[string]reflect.Type{}}
	for _, kind := range kinds {
		c.names[reflect.TypeOf(kind.Zero)] = kind.Name
		c.types[kind.Name] = reflect.TypeOf(kind.Zero)
	}
	return c
}

// Encode returns the bytes of value, whose type must be in the table.
func (c *Codec) Encode(value any) ([]byte, error) {
	name, ok := c.names[reflect.TypeOf(value)]
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "type %T has no kind", value)
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

// Decode returns the value, not a pointer, that Encode was given.
func (c *Codec) Decode(data []byte) (any, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	name, err := decoder.DecodeString()
	if err != nil {
		return nil, pimcode.New(pimcode.UnknownMessage, "no kind: %v", err)
	}
	kind, ok := c.types[name]
	if !ok {
		return nil, pimcode.New(pimcode.UnknownMessage, "kind %q", name)
	}
	pointer := reflect.New(kind)
	if err := decoder.Decode(pointer.Interface()); err != nil {
		return nil, pimcode.New(pimcode.UnknownMessage, "body of %q: %v", name, err)
	}
	return pointer.Elem().Interface(), nil
}
