// Package pimsetting reads settings from flags and environment variables and validates them. The name of the variable
// follows from the flag: --data-dir is PIMENTOSWITCH_DATA_DIR. A flag takes precedence over its variable. Every invalid
// value is reported on a line of its own.
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
	// Setting describes a flag and its environment variable.
	Setting struct {
		Flag    string
		Default string
		Help    string
		// Rule says which values Check accepts, as in "must be true or false". It is part of the error message.
		Rule  string
		Check func(text string) bool
		// Switch allows the flag without a value, which means true.
		Switch bool
	}

	// Set holds the settings of one command with their values.
	Set struct {
		command  string
		flags    *pflag.FlagSet
		settings []Setting
	}
)

const environmentPrefix = "PIMENTOSWITCH_"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// NewSet registers a flag for each setting.
func NewSet(command string, flags *pflag.FlagSet, settings []Setting) *Set {
	for _, setting := range settings {
		help := setting.Help + " [" + EnvironmentVariable(setting.Flag) + "]"
		flags.String(setting.Flag, setting.Default, help)
		if setting.Switch {
			flags.Lookup(setting.Flag).NoOptDefVal = "true"
		}
	}
	return &Set{command: command, flags: flags, settings: settings}
}

// EnvironmentVariable returns the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Check returns an error that lists each invalid setting with its value and its rule.
func (s *Set) Check() error {
	var lines []string
	for _, setting := range s.settings {
		text := s.Text(setting.Flag)
		if setting.Check != nil && !setting.Check(text) {
			lines = append(lines, fmt.Sprintf("pimentoswitch %s: --%s %q: %s", s.command, setting.Flag, text, setting.Rule))
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return pimcode.New(pimcode.SettingInvalid, "%d bad settings\n%s", len(lines), strings.Join(lines, "\n"))
}

// Text returns the value of a setting as a string: the flag if given, else the environment variable, else the default.
func (s *Set) Text(flag string) string {
	registered := s.flags.Lookup(flag)
	if registered == nil {
		return ""
	}
	if value, ok := os.LookupEnv(EnvironmentVariable(flag)); ok && !registered.Changed {
		return value
	}
	return registered.Value.String()
}

// Duration returns a setting as a duration. Call Check first: an invalid value gives zero, as for the other typed
// getters.
func (s *Set) Duration(flag string) time.Duration {
	value, _ := time.ParseDuration(s.Text(flag))
	return value
}

// Int returns a setting as a whole number.
func (s *Set) Int(flag string) int {
	value, _ := strconv.Atoi(s.Text(flag))
	return value
}

// Float returns a setting as a number.
func (s *Set) Float(flag string) float64 {
	value, _ := strconv.ParseFloat(s.Text(flag), 64)
	return value
}

// Bool returns a setting as a boolean.
func (s *Set) Bool(flag string) bool {
	value, _ := strconv.ParseBool(s.Text(flag))
	return value
}

// List returns the parts of a comma-separated setting; none for an empty one.
func (s *Set) List(flag string) []string {
	if s.Text(flag) == "" {
		return nil
	}
	return strings.Split(s.Text(flag), ",")
}

// IsName accepts names such as north-1: 1 to 63 of a-z, 0-9 and hyphens, not beginning or ending with a hyphen.
func IsName(text string) bool { return namePattern.MatchString(text) }

// IsAddress accepts an IP address and a port.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, hostErr := netip.ParseAddr(host)
	number, portErr := strconv.Atoi(port)
	return hostErr == nil && portErr == nil && number >= 0 && number <= 65535
}

// IsAddressList accepts the empty string or addresses separated by commas.
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

// IsNotEmpty accepts any string except the empty one.
func IsNotEmpty(text string) bool { return text != "" }

// IsBool accepts what strconv.ParseBool does, such as true and false.
func IsBool(text string) bool {
	_, err := strconv.ParseBool(text)
	return err == nil
}

// IsIntIn returns a check for whole numbers from lowest to highest, both included.
func IsIntIn(lowest, highest int) func(string) bool {
	return func(text string) bool {
		value, err := strconv.Atoi(text)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsFloatIn returns a check for numbers from lowest to highest, both included.
func IsFloatIn(lowest, highest float64) func(string) bool {
	return func(text string) bool {
		value, err := strconv.ParseFloat(text, 64)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsDurationIn returns a check for durations from lowest to highest, both included.
func IsDurationIn(lowest, highest time.Duration) func(string) bool {
	return func(text string) bool {
		value, err := time.ParseDuration(text)
		return err == nil && value >= lowest && value <= highest
	}
}

// IsOneOf returns a check for a fixed set of values.
func IsOneOf(values ...string) func(string) bool {
	return func(text string) bool { return slices.Contains(values, text) }
}
