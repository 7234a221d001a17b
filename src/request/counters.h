// Counters of the request logic.
#pragma once

#include "heathercross/outcome.h"

#include <array>
#include <cstdint>

namespace heathercross::request {

/// Counters since the start of the process.
struct Counters {
  std::uint64_t Arrived_ = 0;
  /// Answers, indexed by the values of Outcome and Reason.
  std::array<std::uint64_t, 4> Outcomes_{};
  std::array<std::uint64_t, 16> Reasons_{};
  std::uint64_t FirstTries_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Refusals_ = 0;
  std::uint64_t Overflowed_ = 0;
  std::uint64_t OtherZone_ = 0;
  std::uint64_t Fences_ = 0;
  std::uint64_t Preempts_ = 0;
  /// Claims of other attempts that were taken over or completed here.
  std::uint64_t ClaimsSettled_ = 0;
  std::uint64_t WorkersAvoided_ = 0;

  std::uint64_t outcome(Outcome O) const {
    return Outcomes_.at(static_cast<std::size_t>(O));
  }
  std::uint64_t reason(Reason R) const {
    return Reasons_.at(static_cast<std::size_t>(R));
  }
};

} // namespace heathercross::request
