// The attempts that a worker has seen and whether they started.
#include "attempts.h"

namespace heathercross::standin {
namespace {

constexpr std::int64_t RetentionMs = 300'000;

} // namespace

const char *name(AttemptState State) {
  switch (State) {
  case AttemptState::Fenced:
    return "fenced";
  case AttemptState::Running:
    return "running";
  case AttemptState::Done:
    return "done";
  case AttemptState::Failed:
    return "failed";
  case AttemptState::Unseen:
    break;
  }
  return "unseen";
}

AttemptState Attempts::state(const std::string &Attempt) const {
  const auto It = Records_.find(Attempt);
  return It == Records_.end() ? AttemptState::Unseen : It->second.State_;
}

void Attempts::set(const std::string &Attempt, AttemptState State,
                   std::int64_t NowMs) {
  const auto [It, Inserted] = Records_.try_emplace(Attempt);
  It->second.State_ = State;
  if (!Inserted)
    return;
  InsertionOrder_.emplace_back(NowMs, Attempt);
  dropOld(NowMs);
}

void Attempts::dropOld(std::int64_t NowMs) {
  while (!InsertionOrder_.empty() &&
         InsertionOrder_.front().first + RetentionMs < NowMs) {
    Records_.erase(InsertionOrder_.front().second);
    InsertionOrder_.pop_front();
  }
}

void Attempts::storeAnswer(const std::string &Attempt, HttpResponse Answer) {
  const auto It = Records_.find(Attempt);
  if (It == Records_.end())
    return;
  It->second.Answer_ = std::move(Answer);
  It->second.HasAnswer_ = true;
}

const HttpResponse *Attempts::answer(const std::string &Attempt) const {
  const auto It = Records_.find(Attempt);
  if (It == Records_.end() || !It->second.HasAnswer_)
    return nullptr;
  return &It->second.Answer_;
}

} // namespace heathercross::standin
