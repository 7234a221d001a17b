// The daemon's metrics in Prometheus format.
#pragma once

#include "heathercross/outcome.h"
#include "heathercross/units.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <utility>

namespace heathercross::process {

/// Holds all metrics of the process. A metric's name ends with its unit, if
/// any.
class Metrics {
public:
  Metrics();

  /// Counts an answer to a caller and records how long it took.
  void recordAnswer(Outcome O, Reason R, Micros Took);
  /// Adds to a counter, which is created with its help text on first use.
  void add(const std::string &Name, const std::string &Help, double By = 1);
  /// Sets a gauge, which is created with its help text on first use.
  void set(const std::string &Name, const std::string &Help, double Value);
  /// Adds a duration to a histogram, which is created with its help text on
  /// first use.
  void observe(const std::string &Name, const std::string &Help, Micros Took);
  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Answers_;
  prometheus::Histogram &Latency_;
  std::map<std::pair<Outcome, Reason>, prometheus::Counter *> AnswerCounters_;
  std::map<std::string, prometheus::Counter *> Counters_;
  std::map<std::string, prometheus::Gauge *> Gauges_;
  std::map<std::string, prometheus::Histogram *> Histograms_;
};

} // namespace heathercross::process
