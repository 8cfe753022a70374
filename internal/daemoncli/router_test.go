package daemoncli

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/spf13/viper"
)

// Guards against an error that reports only the first invalid setting, so that an operator
// must correct one after the other.
func TestRouterConfigReportsEveryProblem(t *testing.T) {
	g := NewWithT(t)
	settings := viper.New()
	settings.Set("instance", "a")
	settings.Set("listen", "nowhere")
	settings.Set("link-mbps", -1)
	settings.Set("platform-url", "7399")
	_, err := routerConfig(settings)
	for _, problem := range []string{"--zone is missing", "--service is missing", `--listen is "nowhere"`, `--backend is ""`, "--link-mbps is -1", `--platform-url is "7399"`} {
		g.Expect(err).To(MatchError(ContainSubstring(problem)))
	}
	for name, value := range map[string]string{
		"zone": "z", "service": "s", "backend": "127.0.0.1:1", "listen": "127.0.0.1:2", "ready-listen": "127.0.0.1:3",
		"announce-listen": "127.0.0.1:4", "peer-listen": "127.0.0.1:5", "link-mbps": "14", "platform-url": "http://127.0.0.1:7399",
	} {
		settings.Set(name, value)
	}
	config, err := routerConfig(settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(config.LinkBitsPerSecond).To(Equal(14e6))
	g.Expect(config.MetricsAddress).To(BeEmpty())
	g.Expect(config.PreferZone).To(BeFalse())
	settings.Set("prefer-zone", true)
	config, err = routerConfig(settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(config.PreferZone).To(BeTrue())
	g.Expect(config.LearnCapacity).To(BeFalse())
	settings.Set("learn-capacity", "true")
	config, err = routerConfig(settings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(config.LearnCapacity).To(BeTrue())
}
