#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include "ibishold/metrics.h"

namespace ibishold {

namespace {

// Upper bounds of the histogram buckets in seconds: 0.5 ms, doubling up to about 16 s.
prometheus::Histogram::BucketBoundaries MakeLatencyBuckets() {
  prometheus::Histogram::BucketBoundaries buckets;
  for (double upper_bound_s = 0.0005; upper_bound_s < 20; upper_bound_s *= 2) {
    buckets.push_back(upper_bound_s);
  }
  return buckets;
}

std::string FormatSeriesName(const std::string& name, const Labels& labels) {
  std::string series_name = name + "{";
  for (const auto& [key, value] : labels) {
    series_name += (series_name.back() == '{' ? "" : ",") + key + "=" + value;
  }
  return series_name + "}";
}

}  // namespace

Metrics::Metrics(MetricsOptions options) : options(options) {}

template <typename Series, typename CreateSeries>
Series& Metrics::FindOrCreate(std::map<std::string, SeriesFamily<Series>>& families,
                              const std::string& name,
                              Labels labels,
                              const CreateSeries& create_series) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  SeriesFamily<Series>& family = families[name];
  auto entry = family.series.find(labels);
  if (entry == family.series.end() && family.series.size() >= this->options.series_limit) {
    for (auto& label : labels) {
      label.second = "other";
    }
    entry = family.series.find(labels);
  }
  if (entry == family.series.end()) {
    entry = family.series.emplace(labels, create_series(labels)).first;
  }
  return *entry->second;
}

Counter& Metrics::AddCounter(const std::string& name,
                             const std::string& help,
                             const Labels& labels) {
  return this->FindOrCreate(this->counters, name, labels, [&](const Labels& series_labels) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Counter>(family.Add(series_labels));
  });
}

Gauge& Metrics::AddGauge(const std::string& name, const std::string& help, const Labels& labels) {
  return this->FindOrCreate(this->gauges, name, labels, [&](const Labels& series_labels) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Gauge>(family.Add(series_labels));
  });
}

Latency& Metrics::AddLatency(const std::string& name,
                             const std::string& help,
                             const Labels& labels) {
  return this->FindOrCreate(this->latencies, name, labels, [&](const Labels& series_labels) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Latency>(family.Add(series_labels, MakeLatencyBuckets()));
  });
}

std::string Metrics::SerializeText() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

std::map<std::string, LatencySummary> Metrics::SummarizeLatencies() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, LatencySummary> summaries;
  for (const auto& [name, family] : this->latencies) {
    for (const auto& [labels, latency] : family.series) {
      summaries[FormatSeriesName(name, labels)] = latency->Summarize();
    }
  }
  return summaries;
}

}  // namespace ibishold
