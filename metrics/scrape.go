package metrics

import (
	"context"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/zeebo/errs"
)

// MessagesSent returns the number of messages that the process at the URL has sent to other
// lichenfall processes since its start, by kind. The values are up to reportInterval old.
func MessagesSent(ctx context.Context, url string) (map[string]float64, error) {
	families, err := scrape(ctx, url)
	if err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	for _, m := range families["lichenfall_messages"].GetMetric() {
		if labelOf(m, "direction") == "out" {
			out[labelOf(m, "kind")] += m.GetCounter().GetValue()
		}
	}
	return out, nil
}

func scrape(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	return families, errs.Wrap(err)
}

func labelOf(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
