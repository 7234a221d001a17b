// What a worker remembers of attempts: the ground truth of "did it run".
#pragma once

#include "standin/common/http.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace heathercross::standin {

/// Where an attempt stands on one worker.
enum class AttemptState : std::uint8_t {
  Unseen,
  /// Refused or fenced: it can never start here.
  Fenced,
  Running,
  Done,
  Failed,
};

/// The word for a state on the wire.
const char *name(AttemptState State);

/// Attempts by id. Records outlive reboots and are dropped after some minutes.
class Attempts {
public:
  AttemptState state(const std::string &Attempt) const;
  void set(const std::string &Attempt, AttemptState State, std::int64_t NowMs);
  /// Keeps the answer of a finished attempt for callers that ask for it.
  void keepAnswer(const std::string &Attempt, HttpResponse Answer);
  /// The kept answer, or nothing.
  const HttpResponse *answer(const std::string &Attempt) const;

private:
  struct Record {
    AttemptState State_ = AttemptState::Unseen;
    HttpResponse Answer_;
    bool HasAnswer_ = false;
  };

  void dropOld(std::int64_t NowMs);

  std::unordered_map<std::string, Record> Records_;
  std::deque<std::pair<std::int64_t, std::string>> Ages_;
};

} // namespace heathercross::standin
