package config

import (
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

const namePart = `[a-z0-9][a-z0-9._-]{0,62}`

var (
	namePattern = regexp.MustCompile(`^` + namePart + `$`)
	zonePattern = regexp.MustCompile(`^` + namePart + `/` + namePart + `$`)
	// keyPattern excludes the space and the comma, which separate keys.
	keyPattern = regexp.MustCompile(`^[!-+\--~]{16,256}$`)

	validate = newValidator()
)

// minRenewals is the minimum number of renewals during a lease. With three, the lease does
// not expire if one renewal is lost and the next one is late.
const minRenewals = 3

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("flag") })
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		return f.Interface().(netip.AddrPort).String()
	}, netip.AddrPort{})
	for tag, pattern := range map[string]*regexp.Regexp{"name": namePattern, "zone": zonePattern, "key": keyPattern} {
		mustRegister(v, tag, func(f validator.FieldLevel) bool { return pattern.MatchString(f.Field().String()) })
	}
	mustRegister(v, "reachable", func(f validator.FieldLevel) bool {
		a, err := netip.ParseAddrPort(f.Field().String())
		return err == nil && reachable(a)
	})
	v.RegisterStructValidation(checkCombinations, Config{})
	return v
}

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check, true); err != nil {
		panic(err)
	}
}

// reachable reports whether other daemons can connect to a.
func reachable(a netip.AddrPort) bool {
	return a.IsValid() && !a.Addr().IsUnspecified() && a.Port() != 0
}

// checkCombinations checks settings that depend on each other.
func checkCombinations(sl validator.StructLevel) {
	c := sl.Current().Interface().(Config)
	report := func(field any, flag string) { sl.ReportError(field, flag, flag, "together", "") }
	if c.Renewal*minRenewals > c.Lease {
		report(c.Renewal, "renewal-interval")
	}
	if c.PlatformURL == nil {
		report("", "platform-url")
	}
	switch {
	case c.Advertise.IsValid() && !reachable(c.Advertise):
		report(c.Advertise, "advertise")
	case !c.Advertise.IsValid() && c.peerListen().Addr().IsUnspecified():
		report("", "advertise")
	}
	for _, s := range c.Seeds {
		if len(c.PeerKeys) == 0 && !s.Addr().Unmap().IsLoopback() {
			report(s, "seeds")
		}
	}
}

// peerListen returns PeerListen or the address that it defaults to.
func (c *Config) peerListen() netip.AddrPort {
	if c.PeerListen.IsValid() {
		return c.PeerListen
	}
	return c.Listen
}

// invalidFlags returns the flags whose values the validator rejects.
func invalidFlags(c Config) map[string]bool {
	out := map[string]bool{}
	var fieldErrors validator.ValidationErrors
	if errors.As(validate.Struct(c), &fieldErrors) {
		for _, f := range fieldErrors {
			flag, _, _ := strings.Cut(f.Field(), "[")
			out[flag] = true
		}
	}
	return out
}
