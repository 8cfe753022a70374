package config

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

const envPrefix = "BASILWAY"

var envReplacer = strings.NewReplacer("-", "_")

// AddFlags adds all settings to the flags of cmd. They are text flags, so that the
// flag library does not stop at the first value that it cannot parse.
func AddFlags(cmd *cobra.Command) {
	for _, s := range settings {
		cmd.Flags().String(s.flag, s.value, s.usage())
	}
	cmd.Flags().Lookup("metrics").NoOptDefVal = "true"
}

// Load returns the settings from the flags of cmd, which AddFlags added, and from the
// environment; a flag takes precedence. The error is an *Error with all faults, or
// tells that cmd lacks the flags.
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
func parse(get func(flag string) string) (Config, error) {
	var c Config
	bad := map[string]bool{}
	for _, s := range settings {
		// The default stays in place of a faulty value, so that settings that depend
		// on it are not reported as well.
		if err := setDefault(&c, s); err != nil {
			return Config{}, err
		}
		if text := get(s.flag); text != "" && s.parse(&c, text) != nil {
			bad[s.flag] = true
		}
	}
	for flag := range faultyFlags(c) {
		bad[flag] = true
	}
	if len(bad) > 0 {
		return Config{}, faults(bad, get)
	}
	c.PeerListen = c.peerListen()
	if !c.Advertise.IsValid() {
		c.Advertise = c.PeerListen
	}
	return c, nil
}

func setDefault(c *Config, s setting) error {
	if s.value == "" {
		return nil
	}
	if err := s.parse(c, s.value); err != nil {
		return fmt.Errorf("default of --%s: %w", s.flag, err)
	}
	return nil
}

func faults(bad map[string]bool, get func(flag string) string) *Error {
	out := &Error{}
	for _, s := range settings {
		if !bad[s.flag] {
			continue
		}
		value := get(s.flag)
		if s.secret {
			value = Secret(value).String()
		}
		out.Faults = append(out.Faults, Fault{Flag: s.flag, Env: s.env(), Value: value, Allowed: s.allowed})
	}
	return out
}
