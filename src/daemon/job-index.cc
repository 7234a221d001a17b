// This entry's copy of the job rows in the platform table.
#include "daemon/job-index.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>

namespace heathercross::daemon {

void JobIndex::refresh(Done OnDone) {
  Platform_.scan(
      std::string(job::JobPrefix), Cursor_,
      [this, OnDone = std::move(OnDone)](const store::ScanResult &R) {
        for (const Row &Item : R.Rows_)
          applyRow(Item);
        OnDone(R.Answered_, R.Rows_);
      });
}

void JobIndex::applyRow(const Row &R) {
  Cursor_ = std::max(Cursor_, R.Version_);
  try {
    const job::JobRow Job = job::decodeJobRow(R.Value_);
    Entry &E = Jobs_[Job.Job_];
    E = {Job.Team_, Job.Pool_, Job.State_, {}};
    if (!job::isFinal(Job.State_))
      E.Row_ = R;
  } catch (const FormatError &E) {
    LOG(ERROR) << "event=bad-row problem=\"" << E.what() << "\"";
  }
}

std::vector<Row> JobIndex::activeRows() const {
  std::vector<Row> Rows;
  for (const auto &[Id, E] : Jobs_)
    if (!job::isFinal(E.State_))
      Rows.push_back(E.Row_);
  return Rows;
}

std::uint32_t JobIndex::activeJobs(const TeamId &Team) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Jobs_, [&](const auto &Item) {
        return Item.second.Team_ == Team && !job::isFinal(Item.second.State_);
      }));
}

} // namespace heathercross::daemon
