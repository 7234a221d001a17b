// PoolHolder's queues: their settings, as later holders find them in the store
// after a queue has been removed from the configuration.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"

#include <utility>

namespace heathercross::entry {

using detail::toQString;

void PoolHolder::storeQueue(const schedule::QueueId &Queue) {
  if (!Scheduler_.knowsQueue(Queue))
    return;
  const schedule::QueueSettings &Current = Scheduler_.settings(Queue);
  const auto It = Queues_.find(Queue);
  if (It != Queues_.end() && It->second == Current)
    return;
  Queues_[Queue] = Current;
  putQueues(true);
}

void PoolHolder::updateQueues() {
  StoredQueues Needed;
  const auto Add = [&](const schedule::QueueId &Queue) {
    if (Scheduler_.knowsQueue(Queue))
      Needed.try_emplace(Queue, Scheduler_.settings(Queue));
  };
  for (const auto &[Id, J] : Scheduler_.jobs())
    Add(J.queue());
  for (const auto &[Id, S] : Submissions_)
    Add(S.Row_.Queue_);
  if (Needed == Queues_)
    return;
  Queues_ = std::move(Needed);
  putQueues(false);
}

void PoolHolder::restoreQueues(const std::string &Row) {
  Queues_ = decodeQueues(Row, Pool_);
  Scheduler_.restoreQueues(Queues_);
  for (const auto &[Id, J] : Scheduler_.jobs())
    if (!isFinal(J.state()) && !Scheduler_.knowsQueue(J.queue())) {
      QJsonObject F = jobFields(Id);
      F["queue"] = toQString(J.queue().str());
      Context_.Log_.write("queue-unknown", F);
    }
  updateQueues();
}

void PoolHolder::putQueues(bool Urgent) {
  Journal_.put(
      {schedule::RowKind::Roster, QueuesKey,
       Queues_.empty() ? std::nullopt : std::optional(encodeQueues(Queues_))},
      Urgent, Context_.Clock_.now());
}

} // namespace heathercross::entry
