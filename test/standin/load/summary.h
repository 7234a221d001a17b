// Counts what became of the requests and how long they took.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::standin {

/// The last word on one request.
struct Ending {
  std::string Outcome_;
  std::string Reason_;
  /// From the intended send time, in microseconds.
  std::int64_t TookUs_ = 0;
  bool WithinWindow_ = false;
  bool OwnAnswer_ = true;
};

/// The table that is printed at the end.
class Summary {
public:
  void add(const Ending &E);
  void addTry() { ++Tries_; }

  std::string table(double Seconds);
  std::string json(double Seconds);
  bool allAnswersOwn() const { return Foreign_ == 0; }

private:
  /// A quantile of the latency of done requests, in microseconds.
  std::int64_t quantile(double Q);

  std::map<std::pair<std::string, std::string>, std::int64_t> Counts_;
  std::vector<std::int64_t> Latencies_;
  std::int64_t Total_ = 0;
  std::int64_t Tries_ = 0;
  std::int64_t Within_ = 0;
  std::int64_t Foreign_ = 0;
};

} // namespace heathercross::standin
