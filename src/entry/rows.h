// Encoding of the rows that heathercross itself keeps in the store.
#pragma once

#include "schedule/model.h"
#include "schedule/pool-journal.h"

#include <QByteArray>
#include <QJsonObject>

#include <map>
#include <optional>
#include <set>
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
  /// The account that submitted it; empty if it has none.
  AccountId Account_ = {};
};

std::string encodeJob(const JobRow &J);
std::optional<JobRow> decodeJob(const std::string &Text);

/// A worker that may have runs.
struct RosterEntry {
  /// "IP:PORT".
  std::string Address_;
  /// For an unresponsive worker, the time on the store's clock by which all its
  /// runs have ended. Such a worker gets no lease and no order until an entry
  /// without this time is stored.
  std::optional<Millis> RunsEndBy_;
  bool operator==(const RosterEntry &) const = default;
};

/// The workers that may have runs.
using Roster = std::map<InstanceId, RosterEntry>;

std::string encodeRoster(const Roster &R);
/// Skips invalid entries.
Roster decodeRoster(const std::string &Text);

/// The settings of the queues that have jobs. They outlive a queue's removal
/// from the configuration.
using StoredQueues = std::map<schedule::QueueId, schedule::QueueSettings>;

/// The pool isn't stored, as the row belongs to it.
std::string encodeQueues(const StoredQueues &Queues);
/// Skips invalid entries.
StoredQueues decodeQueues(const std::string &Text, const PoolId &Pool);

/// The pools that have claimed an ingress. Decoding skips invalid entries.
std::string encodeOwners(const schedule::IngressOwners &Owners);
schedule::IngressOwners decodeOwners(const std::string &Text);

/// What a pool stores of its ingresses. Decoding skips invalid entries: the
/// pool claims such an ingress again.
std::string encodeIngresses(const schedule::IngressStates &States);
schedule::IngressStates decodeIngresses(const std::string &Text);

/// A list of machines in a row of the fleet duty. Decoding invalid text returns
/// no machines.
std::string encodeMachines(const std::set<schedule::MachineId> &Machines);
std::set<schedule::MachineId> decodeMachines(const std::string &Text);

} // namespace heathercross::entry
