// The progress of a job's tasks.
#include "schedule/task-progress.h"

#include <functional>
#include <numeric>

namespace heathercross::schedule {

namespace {

TaskState doneTask() {
  TaskState T;
  T.Phase_ = TaskPhase::Done;
  return T;
}

} // namespace

StepState StepState::allDone(std::uint32_t Count) {
  StepState S(Count);
  S.Done_ = Count;
  S.Waiting_ = 0;
  return S;
}

const TaskState &StepState::task(std::uint32_t Index) const {
  static const TaskState New;
  static const TaskState Done = doneTask();
  if (isDone(Index))
    return Done;
  const auto It = Begun_.find(Index);
  return It == Begun_.end() ? New : It->second;
}

TaskState *StepState::openTask(std::uint32_t Index) {
  return isDone(Index) ? nullptr : &Begun_[Index];
}

void StepState::setPhase(std::uint32_t Index, TaskPhase Phase) {
  TaskState *T = openTask(Index);
  if (!T)
    return;
  Waiting_ += Phase == TaskPhase::Waiting ? 1 : 0;
  Waiting_ -= T->Phase_ == TaskPhase::Waiting ? 1 : 0;
  T->Phase_ = Phase;
}

void StepState::finish(std::uint32_t Index) {
  if (isDone(Index))
    return;
  Waiting_ -= task(Index).Phase_ == TaskPhase::Waiting ? 1 : 0;
  Begun_.erase(Index);
  ++Done_;
  DoneTasks_.resize(Count_);
  DoneTasks_[Index] = true;
  if (done())
    DoneTasks_ = {};
}

std::uint32_t Occurrence::waitingCount() const {
  return std::transform_reduce(
      Steps_.begin(), Steps_.end(), 0U, std::plus(),
      [](const StepState &S) { return S.waitingCount(); });
}

Occurrences::Occurrences(const std::vector<StepSpec> &Steps,
                         std::uint32_t Count)
    : Count_(Count) {
  New_.Steps_.reserve(Steps.size());
  Done_.Steps_.reserve(Steps.size());
  for (const StepSpec &S : Steps) {
    New_.Steps_.emplace_back(S.Count_);
    Done_.Steps_.push_back(StepState::allDone(S.Count_));
  }
}

const Occurrence &Occurrences::operator[](std::uint32_t Index) const {
  if (isDone(Index))
    return Done_;
  const auto It = Begun_.find(Index);
  return It == Begun_.end() ? New_ : It->second;
}

Occurrence *Occurrences::open(std::uint32_t Index) {
  if (isDone(Index))
    return nullptr;
  return &Begun_.try_emplace(Index, New_).first->second;
}

void Occurrences::set(std::uint32_t Index, std::uint32_t Repeats,
                      const Occurrence &State) {
  if (State.pristine())
    return;
  for (std::uint32_t I = Index; I < Index + Repeats; ++I)
    if (State.done())
      markDone(I);
    else
      Begun_.insert_or_assign(I, State);
}

void Occurrences::closeIfDone(std::uint32_t Index) {
  const auto It = Begun_.find(Index);
  if (It == Begun_.end() || !It->second.done())
    return;
  Begun_.erase(It);
  markDone(Index);
}

void Occurrences::markDone(std::uint32_t Index) {
  if (Index >= DoneOccurrences_.size())
    DoneOccurrences_.resize(Index + 1);
  DoneOccurrences_[Index] = true;
  ++DoneCount_;
  while (isDone(FirstOpen_))
    ++FirstOpen_;
}

} // namespace heathercross::schedule
