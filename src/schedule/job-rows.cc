// The rows of a pool's jobs.
#include "schedule/job-rows.h"

#include "schedule/long-value.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace heathercross::schedule {

namespace {

constexpr Millis PurgeInterval{5000};
/// The progress of an ended job is followed by this mark and by the time of the
/// end on the store's clock, which later holders can read. Rows of earlier
/// versions lack it.
constexpr char EndMark = '\n';

/// Cuts the time of the end off a text, and returns it if there is one.
std::optional<Millis> takeEnd(std::string &Text) {
  const std::size_t Mark = Text.find(EndMark);
  if (Mark == std::string::npos)
    return std::nullopt;
  std::int64_t Time = 0;
  const char *Last = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Mark + 1, Last, Time);
  const bool IsNumber = Read.ec == std::errc() && Read.ptr == Last;
  Text.resize(Mark);
  return IsNumber ? std::optional(Millis(Time)) : std::nullopt;
}

/// Puts the values of a table together, and tells the journal their sizes.
JoinedValues join(const TableRows &Rows, RowKind Kind, PoolJournal &Journal) {
  JoinedValues Joined = joinValues(Rows);
  for (const auto &[Key, Stored] : Joined.Values_)
    Journal.restoreParts(Kind, Key, Stored.Parts_);
  return Joined;
}

} // namespace

JobRows::JobRows(PoolJournal &Journal, const StoreClock &Clock)
    : Journal_(Journal), Clock_(Clock) {}

StoredJobs JobRows::restore(const TableRows &Jobs, const TableRows &Progress,
                            Instant Now) {
  JoinedValues Rows = join(Jobs, RowKind::Job, Journal_);
  JoinedValues States = join(Progress, RowKind::Progress, Journal_);
  StoredJobs Stored;
  Stored.Incomplete_.insert(Rows.Incomplete_.begin(), Rows.Incomplete_.end());
  for (const std::string &Key : States.Incomplete_)
    if (Rows.Values_.erase(Key) > 0)
      Stored.Incomplete_.insert(JobId(Key));
  for (auto &[Key, Row] : Rows.Values_) {
    StoredJob J{std::move(Row.Value_), std::nullopt, Now};
    if (auto State = States.Values_.extract(Key)) {
      std::string &Text = State.mapped().Value_;
      if (const auto End = takeEnd(Text))
        J.EndedAt_ = std::min(Now, Clock_.reachedBy(*End).value_or(Now));
      J.Progress_ = std::move(Text);
    }
    Stored.Jobs_.emplace(JobId(Key), std::move(J));
  }
  // Deleted before any new job can come under the same id.
  for (const auto &[Key, State] : States.Values_)
    if (!Stored.Incomplete_.contains(JobId(Key))) {
      Journal_.put({RowKind::Progress, Key, std::nullopt}, false, Now);
      ++Stored.Leftovers_;
    }
  return Stored;
}

void JobRows::restoreEnd(const JobId &Id, Instant EndedAt) {
  Ends_[Id] = {0, EndedAt};
}

PoolJournal::Ticket JobRows::add(const JobId &Id, std::string Row,
                                 Instant Now) {
  return Journal_.put({RowKind::Job, Id.str(), std::move(Row)}, true, Now);
}

void JobRows::putProgress(const JobId &Id, std::string Progress, bool HasEnded,
                          Instant Now) {
  if (!HasEnded) {
    Journal_.put({RowKind::Progress, Id.str(), std::move(Progress)}, false,
                 Now);
    return;
  }
  // A further change of an ended job leaves its end where it is.
  JobEnd &End =
      Ends_.try_emplace(Id, JobEnd{Journal_.last() + 1, Now}).first->second;
  if (const auto Time = Clock_.latestAt(End.EndedAt_))
    Progress += EndMark + std::to_string(Time->count());
  Journal_.put({RowKind::Progress, Id.str(), std::move(Progress)}, true, Now);
}

bool JobRows::isEndStored(const JobId &Id) const {
  const auto It = Ends_.find(Id);
  return It != Ends_.end() && It->second.Ticket_ <= Journal_.durable();
}

PoolJournal::Ticket JobRows::endTicket(const JobId &Id) const {
  const auto It = Ends_.find(Id);
  return It == Ends_.end() ? 0 : It->second.Ticket_;
}

std::vector<JobId> JobRows::purge(Instant Now, Millis Kept) {
  std::vector<JobId> Purged;
  if (Now - LastPurge_ < PurgeInterval)
    return Purged;
  LastPurge_ = Now;
  std::erase_if(Ends_, [&](const auto &Entry) {
    const auto &[Id, End] = Entry;
    if (Now - End.EndedAt_ < Kept || End.Ticket_ > Journal_.durable())
      return false;
    // A job without its progress would begin anew; progress without its job is
    // deleted by the next holder.
    Journal_.put({RowKind::Job, Id.str(), std::nullopt}, false, Now);
    Journal_.put({RowKind::Progress, Id.str(), std::nullopt}, false, Now);
    Purged.push_back(Id);
    return true;
  });
  return Purged;
}

} // namespace heathercross::schedule
