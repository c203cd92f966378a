package pimmanifest

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// addFaultAt adds a fault at a path such as "$.services[2].team". It takes the line from the
// syntax tree's node at that path.
func (r *reader) addFaultAt(root ast.Node, text, path, rule string) {
	fault := Fault{Line: 1, Path: path, Text: text, Rule: rule}
	if node := findNode(root, strings.TrimPrefix(path, "$.")); node != nil && node.GetToken() != nil {
		fault.Line = node.GetToken().Position.Line
	}
	r.faults = append(r.faults, fault)
}

// findNode returns the node at a path without the leading "$.", or nil if there is none.
func findNode(node ast.Node, path string) ast.Node {
	segment, rest, _ := strings.Cut(path, ".")
	key, position, indexed := strings.Cut(strings.TrimSuffix(segment, "]"), "[")
	value := mappingValue(node, key)
	if indexed {
		value = sequenceElement(value, position)
	}
	if value == nil || rest == "" {
		return value
	}
	return findNode(value, rest)
}

func mappingValue(node ast.Node, key string) ast.Node {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	}
	for _, value := range values {
		if value.Key.GetToken().Value == key {
			return value.Value
		}
	}
	return nil
}

func sequenceElement(node ast.Node, position string) ast.Node {
	index, err := strconv.Atoi(position)
	sequence, ok := node.(*ast.SequenceNode)
	if err != nil || !ok || index >= len(sequence.Values) {
		return nil
	}
	return sequence.Values[index]
}
