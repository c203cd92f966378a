package pimmanifest

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// faultAt adds a fault for a path such as "$.services[2].team", found again in the tree.
func (r *reader) faultAt(root ast.Node, text, path, rule string) {
	fault := Fault{Line: 1, Path: path, Text: text, Rule: rule}
	if node := locate(root, strings.TrimPrefix(path, "$.")); node != nil && node.GetToken() != nil {
		fault.Line = node.GetToken().Position.Line
	}
	r.faults = append(r.faults, fault)
}

func locate(node ast.Node, path string) ast.Node {
	step, rest, _ := strings.Cut(path, ".")
	key, position, indexed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
	value := valueOf(node, key)
	if indexed {
		value = elementOf(value, position)
	}
	if value == nil || rest == "" {
		return value
	}
	return locate(value, rest)
}

func valueOf(node ast.Node, key string) ast.Node {
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

func elementOf(node ast.Node, position string) ast.Node {
	index, err := strconv.Atoi(position)
	sequence, ok := node.(*ast.SequenceNode)
	if err != nil || !ok || index >= len(sequence.Values) {
		return nil
	}
	return sequence.Values[index]
}
