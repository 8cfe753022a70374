package config

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

const envPrefix = "BASILWAY"

var envReplacer = strings.NewReplacer("-", "_")

// AddFlags adds all settings to the flags of cmd. They are string flags, because the flag
// library stops at the first value that it cannot parse.
func AddFlags(cmd *cobra.Command) {
	for _, s := range settings {
		cmd.Flags().String(s.flag, s.defaultValue, s.usage())
	}
	cmd.Flags().Lookup("metrics").NoOptDefVal = "true"
}

// Load returns the settings from the flags of cmd, which AddFlags added, and from the
// environment; a flag takes precedence. If settings are invalid, the error is an *Error
// with all problems.
func Load(cmd *cobra.Command) (Config, error) {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(envReplacer)
	v.AutomaticEnv()
	if err := v.BindPFlags(cmd.Flags()); err != nil {
		return Config{}, fmt.Errorf("bind flags: %w", err)
	}
	return parse(v.GetString)
}

// parse builds a Config from the text of each setting.
func parse(lookup func(flag string) string) (Config, error) {
	var c Config
	invalid := map[string]bool{}
	for _, s := range settings {
		// The default replaces a value that cannot be parsed, so that settings that depend
		// on it are not reported as well.
		if err := setDefault(&c, s); err != nil {
			return Config{}, err
		}
		if text := lookup(s.flag); text != "" && s.parse(&c, text) != nil {
			invalid[s.flag] = true
		}
	}
	for flag := range invalidFlags(c) {
		invalid[flag] = true
	}
	if len(invalid) > 0 {
		return Config{}, newError(invalid, lookup)
	}
	c.PeerListen = c.peerListen()
	if !c.Advertise.IsValid() {
		c.Advertise = c.PeerListen
	}
	return c, nil
}

func setDefault(c *Config, s setting) error {
	if s.defaultValue == "" {
		return nil
	}
	if err := s.parse(c, s.defaultValue); err != nil {
		return fmt.Errorf("default of --%s: %w", s.flag, err)
	}
	return nil
}

func newError(invalid map[string]bool, lookup func(flag string) string) *Error {
	e := &Error{}
	for _, s := range settings {
		if !invalid[s.flag] {
			continue
		}
		value := lookup(s.flag)
		if s.secret {
			value = Secret(value).String()
		}
		e.Problems = append(e.Problems, Problem{Flag: s.flag, Env: s.env(), Value: value, Allowed: s.allowed})
	}
	return e
}
