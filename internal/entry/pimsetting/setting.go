// Package pimsetting reads settings from flags and environment variables and checks
// them. Each setting is a row with its flag, default, rule and check; the variable's
// name follows from the flag: --data-dir is PIMENTOSWITCH_DATA_DIR. A flag goes
// before its variable. Every bad value gives a line of its own.
package pimsetting

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/pimentoswitch/pimentoswitch/internal/base/pimcode"
)

type (
	// Setting is one row. Check returns nil for a good text; Rule says what is good.
	Setting struct {
		Flag    string
		Default string
		Help    string
		Rule    string
		Check   func(text string) bool
		Switch  bool
	}

	// Set is the settings of one command.
	Set struct {
		command  string
		flags    *pflag.FlagSet
		settings []Setting
	}
)

const environmentPrefix = "PIMENTOSWITCH_"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// NewSet registers the rows as flags.
func NewSet(command string, flags *pflag.FlagSet, rows []Setting) *Set {
	for _, row := range rows {
		help := row.Help + " [" + EnvironmentVariable(row.Flag) + "]"
		flags.String(row.Flag, row.Default, help)
		if row.Switch {
			flags.Lookup(row.Flag).NoOptDefVal = "true"
		}
	}
	return &Set{command: command, flags: flags, settings: rows}
}

// EnvironmentVariable returns the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Check returns an error that names each bad setting, its text and its rule.
func (s *Set) Check() error {
	var lines []string
	for _, row := range s.settings {
		text := s.Text(row.Flag)
		if row.Check != nil && !row.Check(text) {
			lines = append(lines, fmt.Sprintf("pimentoswitch %s: --%s %q: %s", s.command, row.Flag, text, row.Rule))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return pimcode.New(pimcode.SettingInvalid, "%d bad settings\n%s", len(lines), strings.Join(lines, "\n"))
}

// Text returns a setting as text: the flag if given, else the variable, else the default.
func (s *Set) Text(flag string) string {
	found := s.flags.Lookup(flag)
	if found == nil {
		return ""
	}
	if value, ok := os.LookupEnv(EnvironmentVariable(flag)); ok && !found.Changed {
		return value
	}
	return found.Value.String()
}

// Duration returns a checked duration.
func (s *Set) Duration(flag string) time.Duration {
	value, _ := time.ParseDuration(s.Text(flag))
	return value
}

// Int returns a checked whole number.
func (s *Set) Int(flag string) int {
	value, _ := strconv.Atoi(s.Text(flag))
	return value
}

// Float returns a checked number.
func (s *Set) Float(flag string) float64 {
	value, _ := strconv.ParseFloat(s.Text(flag), 64)
	return value
}

// Bool returns a checked switch.
func (s *Set) Bool(flag string) bool {
	value, _ := strconv.ParseBool(s.Text(flag))
	return value
}

// List returns the parts of a comma-separated text.
func (s *Set) List(flag string) []string {
	if s.Text(flag) == "" {
		return nil
	}
	return strings.Split(s.Text(flag), ",")
}

// IsName accepts names such as north-1.
func IsName(text string) bool { return namePattern.MatchString(text) }

// IsAddress accepts an IP number and a port.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, hostErr := netip.ParseAddr(host)
	number, portErr := strconv.Atoi(port)
	return hostErr == nil && portErr == nil && number >= 0 && number <= 65535
}

// IsAddressList accepts nothing, or addresses separated by commas.
func IsAddressList(text string) bool {
	if text == "" {
		return true
	}
	for _, part := range strings.Split(text, ",") {
		if !IsAddress(part) {
			return false
		}
	}
	return true
}

// IsNotEmpty accepts any text but the empty one.
func IsNotEmpty(text string) bool { return text != "" }

// IsBool accepts true and false.
func IsBool(text string) bool {
	_, err := strconv.ParseBool(text)
	return err == nil
}

// IsIntIn returns a check for whole numbers from lowest to highest.
func IsIntIn(lowest, highest int) func(string) bool {
	return func(text string) bool {
		value, err := strconv.Atoi(text)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsFloatIn returns a check for numbers from lowest to highest.
func IsFloatIn(lowest, highest float64) func(string) bool {
	return func(text string) bool {
		value, err := strconv.ParseFloat(text, 64)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsDurationIn returns a check for durations from lowest to highest.
func IsDurationIn(lowest, highest time.Duration) func(string) bool {
	return func(text string) bool {
		value, err := time.ParseDuration(text)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsOneOf returns a check for a fixed set of texts.
func IsOneOf(values ...string) func(string) bool {
	return func(text string) bool { return slices.Contains(values, text) }
}
