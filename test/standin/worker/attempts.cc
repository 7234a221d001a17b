// What a worker remembers of attempts: the ground truth of "did it run".
#include "attempts.h"

namespace heathercross::standin {
namespace {

constexpr std::int64_t KeepMs = 300'000;

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
  const auto At = Records_.find(Attempt);
  return At == Records_.end() ? AttemptState::Unseen : At->second.State_;
}

void Attempts::set(const std::string &Attempt, AttemptState State,
                   std::int64_t NowMs) {
  const auto [At, Inserted] = Records_.try_emplace(Attempt);
  At->second.State_ = State;
  if (!Inserted)
    return;
  Ages_.emplace_back(NowMs, Attempt);
  dropOld(NowMs);
}

void Attempts::dropOld(std::int64_t NowMs) {
  while (!Ages_.empty() && Ages_.front().first + KeepMs < NowMs) {
    Records_.erase(Ages_.front().second);
    Ages_.pop_front();
  }
}

void Attempts::keepAnswer(const std::string &Attempt, HttpResponse Answer) {
  const auto At = Records_.find(Attempt);
  if (At == Records_.end())
    return;
  At->second.Answer_ = std::move(Answer);
  At->second.HasAnswer_ = true;
}

const HttpResponse *Attempts::answer(const std::string &Attempt) const {
  const auto At = Records_.find(Attempt);
  if (At == Records_.end() || !At->second.HasAnswer_)
    return nullptr;
  return &At->second.Answer_;
}

} // namespace heathercross::standin
