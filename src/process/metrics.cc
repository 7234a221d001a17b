// The daemon's metrics in Prometheus format.
#include "process/metrics.h"

#include <prometheus/text_serializer.h>

namespace heathercross::process {

namespace {

/// Upper bounds of the histogram buckets, in seconds.
prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
          0.1,    0.2,   0.5,   1,     2,    5,    10};
}

prometheus::Histogram &
registerLatencyHistogram(prometheus::Registry &Registry) {
  auto &Family = prometheus::BuildHistogram()
                     .Name("heathercross_request_duration_seconds")
                     .Help("Time from a request's arrival to its answer.")
                     .Register(Registry);
  return Family.Add({}, latencyBuckets());
}

} // namespace

Metrics::Metrics()
    : Answers_(prometheus::BuildCounter()
                   .Name("heathercross_answers_total")
                   .Help("Answers to callers by outcome and reason.")
                   .Register(Registry_)),
      Latency_(registerLatencyHistogram(Registry_)) {}

void Metrics::recordAnswer(Outcome O, Reason R, Micros Took) {
  prometheus::Counter *&C = AnswerCounters_[{O, R}];
  if (!C)
    C = &Answers_.Add(
        {{"outcome", std::string(name(O))}, {"reason", std::string(name(R))}});
  C->Increment();
  Latency_.Observe(std::chrono::duration<double>(Took).count());
}

void Metrics::add(const std::string &Name, const std::string &Help, double By) {
  prometheus::Counter *&C = Counters_[Name];
  if (!C)
    C = &prometheus::BuildCounter()
             .Name(Name)
             .Help(Help)
             .Register(Registry_)
             .Add({});
  C->Increment(By);
}

void Metrics::set(const std::string &Name, const std::string &Help,
                  double Value) {
  prometheus::Gauge *&G = Gauges_[Name];
  if (!G)
    G = &prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry_).Add(
        {});
  G->Set(Value);
}

void Metrics::observe(const std::string &Name, const std::string &Help,
                      Micros Took) {
  prometheus::Histogram *&H = Histograms_[Name];
  if (!H)
    H = &prometheus::BuildHistogram()
             .Name(Name)
             .Help(Help)
             .Register(Registry_)
             .Add({}, latencyBuckets());
  H->Observe(std::chrono::duration<double>(Took).count());
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry_.Collect());
}

} // namespace heathercross::process
