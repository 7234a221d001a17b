// Counts the outcomes of requests and their latencies.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::standin {

/// The final outcome of one request.
struct Outcome {
  std::string Outcome_;
  std::string Reason_;
  /// Latency from the intended send time, in microseconds.
  std::int64_t LatencyUs_ = 0;
  bool WithinWindow_ = false;
  bool OwnAnswer_ = true;
};

/// The results of a run, printed at its end.
class Summary {
public:
  void add(const Outcome &O);
  void addTry() { ++Tries_; }

  std::string table(double Seconds);
  std::string json(double Seconds);
  bool allAnswersCorrect() const { return WrongAnswers_ == 0; }

private:
  /// Returns a quantile of the latencies of done requests, in microseconds.
  std::int64_t quantile(double Q);

  std::map<std::pair<std::string, std::string>, std::int64_t> Counts_;
  std::vector<std::int64_t> LatenciesUs_;
  std::int64_t Requests_ = 0;
  std::int64_t Tries_ = 0;
  std::int64_t DoneWithinWindow_ = 0;
  std::int64_t WrongAnswers_ = 0;
};

} // namespace heathercross::standin
