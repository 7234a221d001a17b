// Encoding of the rows that heathercross itself keeps in the store.
#pragma once

#include "schedule/job.h"
#include "schedule/pool-journal.h"

#include <QByteArray>
#include <QJsonObject>

#include <map>
#include <optional>
#include <string>

namespace heathercross::entry {

/// Encodes and decodes a holder row. Decoding returns nothing for invalid text.
std::string encodeHolder(const schedule::HolderRow &H);
std::optional<schedule::HolderRow> decodeHolder(const std::string &Text);

/// An accepted job.
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

/// The addresses of the workers that may have runs.
using Roster = std::map<InstanceId, std::string>;

std::string encodeRoster(const Roster &R);
/// Skips invalid entries.
Roster decodeRoster(const std::string &Text);

} // namespace heathercross::entry
