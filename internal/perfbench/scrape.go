package perfbench

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// scrape returns the metrics of the daemon at a base URL. The map's keys are metric names
// with their labels.
func scrape(url string) (map[string]float64, error) {
	res, err := http.Get(url + "/metrics")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer res.Body.Close()
	metrics := map[string]float64{}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if at < 0 {
			continue
		}
		if value, err := strconv.ParseFloat(lines.Text()[at+1:], 64); err == nil {
			metrics[lines.Text()[:at]] = value
		}
	}
	return metrics, trace.Wrap(lines.Err())
}

// kindLabel returns the label kind of a metric such as prefix{kind="renew"}, and whether name
// is such a metric.
func kindLabel(name, prefix string) (string, bool) {
	rest, found := strings.CutPrefix(name, prefix+`{kind="`)
	return strings.TrimSuffix(rest, `"}`), found
}
