// Limits the memory of the jobs that a pool has accepted.
#include "schedule/job-memory.h"

#include "schedule/job.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// Bytes for a job besides its steps and texts, with its entries in indexes.
constexpr std::size_t BytesPerJob = sizeof(Job) + 1000;
/// Bytes for a step: what was submitted, and one state each for occurrences
/// that haven't begun and for those that are done.
constexpr std::size_t BytesPerStep = sizeof(StepSpec) + 2 * sizeof(StepState);
/// A row is in memory twice while it is put together from its parts; later the
/// payload remains.
constexpr std::size_t CopiesOfRow = 2;

} // namespace

std::size_t memoryOf(const JobSpec &Spec, std::size_t RowBytes) {
  return BytesPerJob + BytesPerStep * Spec.Steps_.size() +
         CopiesOfRow * RowBytes;
}

void JobMemory::setLimit(std::size_t InstanceBytes, std::size_t Pools) {
  constexpr std::size_t Share = 2;
  Limit_ = InstanceBytes / Share / std::max<std::size_t>(1, Pools);
}

void JobMemory::add(const JobId &Id, std::size_t Bytes) {
  remove(Id);
  Jobs_[Id] = Bytes;
  Used_ += Bytes;
}

void JobMemory::remove(const JobId &Id) {
  const auto It = Jobs_.find(Id);
  if (It == Jobs_.end())
    return;
  Used_ -= It->second;
  Jobs_.erase(It);
}

} // namespace heathercross::schedule
