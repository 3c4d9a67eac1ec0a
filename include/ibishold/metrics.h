#ifndef IBISHOLD_METRICS_H_
#define IBISHOLD_METRICS_H_

// Counters, gauges and latency histograms of one process, with Prometheus text exposition.
//
// Index of this header:
//   1. Labels          label names and values of a time series
//   2. Counter         value that only increases
//   3. Gauge           value that can increase and decrease
//   4. Latency         histogram of durations with running statistics
//   5. Metrics         registry of all series; exports them as text

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Labels ----------------------------------------------------------------------------------

using Labels = std::map<std::string, std::string>;  // name -> value

// ---- 2. Counter ---------------------------------------------------------------------------------

class Counter {
 public:
  explicit Counter(prometheus::Counter& counter) : counter(&counter) {}

  void Add(double amount = 1) { this->counter->Increment(amount); }
  double Value() const { return this->counter->Value(); }

 private:
  prometheus::Counter* counter;
};

// ---- 3. Gauge -----------------------------------------------------------------------------------

class Gauge {
 public:
  explicit Gauge(prometheus::Gauge& gauge) : gauge(&gauge) {}

  void Set(double value) { this->gauge->Set(value); }
  double Value() const { return this->gauge->Value(); }

 private:
  prometheus::Gauge* gauge;
};

// ---- 4. Latency ---------------------------------------------------------------------------------

struct LatencySummary {
  std::uint64_t count = 0;  // number of recorded durations
  double mean_ms = 0;       // ms
  double max_ms = 0;        // ms
  double p50_ms = 0;        // ms, estimated (P-square)
  double p90_ms = 0;        // ms, estimated
  double p99_ms = 0;        // ms, estimated
};

// Latency histogram, exported in seconds with buckets from 0.5 ms to about 16 s. Also keeps running
// statistics since the process started. Thread-safe.
class Latency {
 public:
  explicit Latency(prometheus::Histogram& histogram);

  void Record(Duration duration);
  LatencySummary Summarize() const;

 private:
  using Statistics = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;

  prometheus::Histogram* histogram;
  mutable std::mutex mutex;
  Statistics statistics;
};

// ---- 5. Metrics ---------------------------------------------------------------------------------

struct MetricsOptions {
  std::size_t series_limit = 200;  // per metric name; values of further ones go to series "other"
};

// Registry of metrics. Each Add function returns the series with the given name and labels and
// creates it on first use. The series limit bounds memory when callers send many tenant names.
// Returned references stay valid for the lifetime of the registry. Thread-safe, but each Add
// function takes a lock: on hot paths, keep the reference.
class Metrics {
 public:
  explicit Metrics(MetricsOptions options = {});

  Counter& AddCounter(const std::string& name, const std::string& help, const Labels& labels = {});
  Gauge& AddGauge(const std::string& name, const std::string& help, const Labels& labels = {});
  Latency& AddLatency(const std::string& name, const std::string& help, const Labels& labels = {});

  std::string SerializeText() const;                                 // Prometheus text format
  std::map<std::string, LatencySummary> SummarizeLatencies() const;  // "name{k=v}" -> summary

 private:
  template <typename Series>
  struct SeriesFamily {
    std::map<Labels, std::unique_ptr<Series>> series;
  };

  template <typename Series, typename CreateSeries>
  Series& FindOrCreate(std::map<std::string, SeriesFamily<Series>>& families,
                       const std::string& name,
                       Labels labels,
                       const CreateSeries& create_series);

  MetricsOptions options;
  prometheus::Registry registry;
  mutable std::mutex mutex;
  std::map<std::string, SeriesFamily<Counter>> counters;
  std::map<std::string, SeriesFamily<Gauge>> gauges;
  std::map<std::string, SeriesFamily<Latency>> latencies;
};

}  // namespace ibishold

#endif  // IBISHOLD_METRICS_H_
