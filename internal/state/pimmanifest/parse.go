package pimmanifest

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

type (
	// reader converts a syntax tree into a Manifest and collects all faults.
	reader struct{ faults []Fault }

	// field is an allowed key of a mapping and the function that reads its value.
	field struct {
		name     string
		required bool
		read     func(node ast.Node, path string)
	}
)

// Limits on a manifest.
const (
	MaxManifestBytes = 4 << 20
	maxReplicas      = 100_000
	maxTasks         = 1_000_000
	maxListEntries   = 20_000
	maxPriority      = 9
	maxCPUMillis     = 1_000_000
	maxMemoryMB      = 10_000_000
	maxAccelerators  = 64
	maxWeight        = 10_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse reads a manifest in YAML or JSON. It returns all faults; the manifest is valid only
// if there are none.
func Parse(content []byte) (Manifest, []Fault) {
	if len(content) > MaxManifestBytes {
		text := strconv.Itoa(len(content))
		return Manifest{}, []Fault{{Line: 1, Path: "$", Text: text, Rule: fmt.Sprintf("at most %d bytes", MaxManifestBytes)}}
	}
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return Manifest{}, []Fault{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return Manifest{}, []Fault{{Line: 1, Path: "$", Text: "", Rule: "must hold exactly one document"}}
	}
	r := &reader{}
	manifest := r.manifest(file.Docs[0].Body)
	r.checkReferences(file.Docs[0].Body, manifest)
	return manifest, r.faults
}

// syntaxFault converts an error of the YAML parser. The first line of its message has the
// form "[line:column] text"; the lines below it quote the source.
func syntaxFault(err error) Fault {
	first, _, _ := strings.Cut(err.Error(), "\n")
	fault := Fault{Line: 1, Path: "$", Text: first, Rule: "must be YAML or JSON"}
	column := 0
	if _, scanErr := fmt.Sscanf(first, "[%d:%d]", &fault.Line, &column); scanErr == nil {
		_, fault.Text, _ = strings.Cut(first, "] ")
	}
	return fault
}

func (r *reader) addFault(node ast.Node, path, rule string) {
	fault := Fault{Line: 1, Path: path, Rule: rule}
	if token := node.GetToken(); token != nil {
		fault.Line = token.Position.Line
		fault.Text = token.Value
	}
	r.faults = append(r.faults, fault)
}

func (r *reader) manifest(node ast.Node) Manifest {
	var m Manifest
	r.mapping(node, "$", []field{
		{"number", true, r.number(1, 1<<53, func(v int64) { m.Number = uint64(v) })},
		{"teams", false, r.list(func(n ast.Node, path string) { m.Teams = append(m.Teams, r.team(n, path)) })},
		{"services", false, r.list(func(n ast.Node, path string) { m.Services = append(m.Services, r.service(n, path)) })},
		{"batch-jobs", false, r.list(func(n ast.Node, path string) { m.BatchJobs = append(m.BatchJobs, r.batchJob(n, path)) })},
	})
	return m
}

func (r *reader) team(node ast.Node, path string) Team {
	team := Team{Weight: 1}
	r.mapping(node, path, []field{
		{"name", true, r.name(&team.Name)},
		{"weight", false, r.number(1, maxWeight, func(v int64) { team.Weight = int(v) })},
		{"quota", false, func(n ast.Node, p string) { team.Quota = r.resources(n, p) }},
	})
	return team
}

func (r *reader) service(node ast.Node, path string) Service {
	service := Service{Replicas: 1, Priority: maxPriority}
	r.mapping(node, path, []field{
		{"name", true, r.name(&service.Name)},
		{"replicas", true, r.number(0, maxReplicas, func(v int64) { service.Replicas = int(v) })},
		{"team", true, r.name(&service.Team)},
		{"priority", false, r.number(0, maxPriority, func(v int64) { service.Priority = int(v) })},
		{"idempotent", true, r.boolean(&service.Idempotent)},
		{"needs", true, func(n ast.Node, p string) { service.Needs = r.resources(n, p) }},
		{"failure-domains", false, r.names(&service.FailureDomains)},
	})
	return service
}

func (r *reader) batchJob(node ast.Node, path string) BatchJob {
	var job BatchJob
	r.mapping(node, path, []field{
		{"name", true, r.name(&job.Name)},
		{"tasks", true, r.number(1, maxTasks, func(v int64) { job.Tasks = int(v) })},
		{"team", true, r.name(&job.Team)},
		{"needs", true, func(n ast.Node, p string) { job.Needs = r.resources(n, p) }},
		{"failure-domains", false, r.names(&job.FailureDomains)},
		{"run-time", false, r.duration(&job.RunTime)},
		{"deadline", false, r.duration(&job.Deadline)},
		{"checkpoint", false, r.boolean(&job.Checkpoint)},
	})
	return job
}

func (r *reader) resources(node ast.Node, path string) Resources {
	var needs Resources
	r.mapping(node, path, []field{
		{"cpu-millis", true, r.number(1, maxCPUMillis, func(v int64) { needs.CPUMillis = v })},
		{"memory-mb", true, r.number(1, maxMemoryMB, func(v int64) { needs.MemoryMB = v })},
		{"accelerators", false, r.number(0, maxAccelerators, func(v int64) { needs.Accelerators = v })},
	})
	return needs
}

func (r *reader) mapping(node ast.Node, path string, fields []field) {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		r.addFault(node, path, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for _, value := range values {
		key := value.Key.GetToken().Value
		if seen[key] {
			r.addFault(value.Key, path+"."+key, "must not be given twice")
			continue
		}
		seen[key] = true
		r.readField(value, path+"."+key, key, fields)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.addFault(node, path+"."+f.name, "must be given")
		}
	}
}

func (r *reader) readField(value *ast.MappingValueNode, path, key string, fields []field) {
	for _, f := range fields {
		if f.name == key {
			f.read(value.Value, path)
			return
		}
	}
	r.addFault(value.Key, path, "is not a known key")
}

func (r *reader) list(read func(node ast.Node, path string)) func(ast.Node, string) {
	return func(node ast.Node, path string) {
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			r.addFault(node, path, "must be a list")
			return
		}
		if len(sequence.Values) > maxListEntries {
			r.addFault(node, path, fmt.Sprintf("must have at most %d entries", maxListEntries))
			return
		}
		for i, value := range sequence.Values {
			read(value, fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (r *reader) name(target *string) func(ast.Node, string) {
	return func(node ast.Node, path string) {
		text := node.GetToken().Value
		if !namePattern.MatchString(text) {
			r.addFault(node, path, "must be 1 to 63 of a-z, 0-9 and -, not beginning or ending with -")
			return
		}
		*target = text
	}
}

func (r *reader) names(target *[]string) func(ast.Node, string) {
	return r.list(func(node ast.Node, path string) {
		var name string
		r.name(&name)(node, path)
		*target = append(*target, name)
	})
}

func (r *reader) number(lowest, highest int64, set func(int64)) func(ast.Node, string) {
	return func(node ast.Node, path string) {
		_, isInteger := node.(*ast.IntegerNode)
		value, err := strconv.ParseInt(node.GetToken().Value, 10, 64)
		if !isInteger || err != nil || value < lowest || value > highest {
			r.addFault(node, path, fmt.Sprintf("must be a whole number from %d to %d", lowest, highest))
			return
		}
		set(value)
	}
}

func (r *reader) boolean(target *bool) func(ast.Node, string) {
	return func(node ast.Node, path string) {
		boolean, ok := node.(*ast.BoolNode)
		if !ok {
			r.addFault(node, path, "must be true or false")
			return
		}
		*target = boolean.Value
	}
}

func (r *reader) duration(target *time.Duration) func(ast.Node, string) {
	return func(node ast.Node, path string) {
		value, err := time.ParseDuration(node.GetToken().Value)
		if err != nil || value <= 0 {
			r.addFault(node, path, "must be a positive duration such as 90s or 5m")
			return
		}
		*target = value
	}
}

// checkReferences adds faults for duplicate names and undeclared teams.
func (r *reader) checkReferences(root ast.Node, m Manifest) {
	teams := map[string]bool{}
	for i, team := range m.Teams {
		r.checkUnique(root, teams, team.Name, fmt.Sprintf("$.teams[%d].name", i))
	}
	names := map[string]bool{}
	for i, service := range m.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		r.checkUnique(root, names, service.Name, path+".name")
		r.checkTeam(root, teams, service.Team, path+".team")
	}
	for i, job := range m.BatchJobs {
		path := fmt.Sprintf("$.batch-jobs[%d]", i)
		r.checkUnique(root, names, job.Name, path+".name")
		r.checkTeam(root, teams, job.Team, path+".team")
	}
}

func (r *reader) checkUnique(root ast.Node, seen map[string]bool, name, path string) {
	if name != "" && seen[name] {
		r.addFaultAt(root, name, path, "must be unique")
	}
	seen[name] = true
}

func (r *reader) checkTeam(root ast.Node, teams map[string]bool, name, path string) {
	if name != "" && !teams[name] {
		r.addFaultAt(root, name, path, "must be a team declared under teams")
	}
}
