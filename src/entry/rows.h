// The values of heathercross's own rows in the store.
#pragma once

#include "schedule/job.h"
#include "schedule/pool-journal.h"

#include <QByteArray>
#include <QJsonObject>

#include <map>
#include <optional>
#include <string>

namespace heathercross::entry {

/// A holder row. An unreadable text gives nothing.
std::string encodeHolder(const schedule::HolderRow &H);
std::optional<schedule::HolderRow> decodeHolder(const std::string &Text);

/// A job as it was accepted.
struct JobRow {
  schedule::QueueId Queue_;
  /// The body of the submission.
  QByteArray Body_;
  schedule::WallTime Accepted_;
  /// The epoch of the holder that accepted it.
  Epoch Epoch_;
};

std::string encodeJob(const JobRow &J);
std::optional<JobRow> decodeJob(const std::string &Text);

/// The addresses of the workers on which something may run.
using Roster = std::map<InstanceId, std::string>;

std::string encodeRoster(const Roster &R);
/// Entries that can't be read are left out.
Roster decodeRoster(const std::string &Text);

} // namespace heathercross::entry
