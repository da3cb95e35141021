package once

import "github.com/prometheus/client_golang/prometheus"

// The label of the metrics and its values, which are the roles of a process.
const (
	labelRole   = "role"
	roleHome    = "home"
	roleWitness = "witness"
)

var (
	keysMetric     = prometheus.NewDesc("endivechute_keys", "Keys that are live or have a kept outcome.", []string{labelRole}, nil)
	refusalsMetric = prometheus.NewDesc("endivechute_keys_refused", "Keys that must never run.", []string{labelRole}, nil)
	bytesMetric    = prometheus.NewDesc("endivechute_keys_answer_bytes", "Bytes of kept answers and of the room set aside for running requests.", []string{labelRole}, nil)
)

// Describe implements prometheus.Collector.
func (k *Keys) Describe(metrics chan<- *prometheus.Desc) {
	metrics <- keysMetric
	metrics <- refusalsMetric
	metrics <- bytesMetric
}

// Collect implements prometheus.Collector.
func (k *Keys) Collect(metrics chan<- prometheus.Metric) {
	d := k.Dump()
	for _, g := range []struct {
		metric *prometheus.Desc
		value  int64
		role   string
	}{
		{keysMetric, d.HomeKeys, roleHome},
		{keysMetric, d.Recorded, roleWitness},
		{refusalsMetric, d.HomeRefused, roleHome},
		{refusalsMetric, d.Sealed, roleWitness},
		{bytesMetric, d.HomeBytes, roleHome},
		{bytesMetric, d.WitnessBytes, roleWitness},
	} {
		metrics <- prometheus.MustNewConstMetric(g.metric, prometheus.GaugeValue, float64(g.value), g.role)
	}
}
