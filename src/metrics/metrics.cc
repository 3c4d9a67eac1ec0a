#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include "ibishold/metrics.h"

namespace ibishold {

namespace {

// Doubling buckets from 0.5 ms, in seconds.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  prometheus::Histogram::BucketBoundaries buckets;
  for (double bound = 0.0005; bound < 20; bound *= 2) {
    buckets.push_back(bound);
  }
  return buckets;
}

std::string SeriesName(const std::string& name, const Labels& labels) {
  std::string text = name + "{";
  for (const auto& [key, value] : labels) {
    text += (text.back() == '{' ? "" : ",") + key + "=" + value;
  }
  return text + "}";
}

}  // namespace

Metrics::Metrics(MetricsOptions options) : options(options) {}

template <typename Series, typename Make>
Series& Metrics::Lookup(std::map<std::string, Group<Series>>& groups,
                        const std::string& name,
                        Labels labels,
                        const Make& make) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Group<Series>& group = groups[name];
  auto found = group.series.find(labels);
  if (found == group.series.end() && group.series.size() >= this->options.series_limit) {
    for (auto& label : labels) {
      label.second = "other";
    }
    found = group.series.find(labels);
  }
  if (found == group.series.end()) {
    found = group.series.emplace(labels, make(labels)).first;
  }
  return *found->second;
}

Counter& Metrics::AddCounter(const std::string& name,
                             const std::string& help,
                             const Labels& labels) {
  return this->Lookup(this->counters, name, labels, [&](const Labels& chosen) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Counter>(family.Add(chosen));
  });
}

Gauge& Metrics::AddGauge(const std::string& name, const std::string& help, const Labels& labels) {
  return this->Lookup(this->gauges, name, labels, [&](const Labels& chosen) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Gauge>(family.Add(chosen));
  });
}

Latency& Metrics::AddLatency(const std::string& name,
                             const std::string& help,
                             const Labels& labels) {
  return this->Lookup(this->latencies, name, labels, [&](const Labels& chosen) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
    return std::make_unique<Latency>(family.Add(chosen, LatencyBuckets()));
  });
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

std::map<std::string, LatencySummary> Metrics::LatencySummaries() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, LatencySummary> summaries;
  for (const auto& [name, group] : this->latencies) {
    for (const auto& [labels, latency] : group.series) {
      summaries[SeriesName(name, labels)] = latency->Summary();
    }
  }
  return summaries;
}

}  // namespace ibishold
