// The attempts that a worker has seen and whether they started.
#pragma once

#include "standin/common/http.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace heathercross::standin {

/// The state of an attempt on one worker.
enum class AttemptState : std::uint8_t {
  Unseen,
  /// The attempt was refused or fenced and can never start here.
  Fenced,
  Running,
  Done,
  Failed,
};

/// Returns the name of a state in the HTTP interface.
const char *name(AttemptState State);

/// Attempts by id. Records survive reboots and are dropped after five minutes.
class Attempts {
public:
  AttemptState state(const std::string &Attempt) const;
  void set(const std::string &Attempt, AttemptState State, std::int64_t NowMs);
  /// Stores the answer of a finished attempt, so that it can be fetched later.
  void storeAnswer(const std::string &Attempt, HttpResponse Answer);
  /// Returns the stored answer, or null if there is none.
  const HttpResponse *answer(const std::string &Attempt) const;

private:
  struct Record {
    AttemptState State_ = AttemptState::Unseen;
    HttpResponse Answer_;
    bool HasAnswer_ = false;
  };

  void dropOld(std::int64_t NowMs);

  std::unordered_map<std::string, Record> Records_;
  std::deque<std::pair<std::int64_t, std::string>> InsertionOrder_;
};

} // namespace heathercross::standin
