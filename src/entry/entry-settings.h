// The validated settings of an entry instance.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"
#include "schedule/machine-orders.h"
#include "settings/settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace heathercross::entry {

/// The least memory that an entry is given, unless its settings say less.
inline constexpr Bytes LeastMemory = 160_MiB;

/// Settings that the platform writes to a file at each start and after each
/// change.
struct EntrySettings {
  EntryId Name_;
  ZoneId Zone_;
  /// Processor time that this entry may use, in cores.
  double CpuShare_ = 1;
  /// Memory at which the platform ends this entry.
  Bytes Memory_ = LeastMemory;
  /// Listening address for callers.
  Endpoint Front_;
  /// Listening address for the load balancer's readiness checks.
  Endpoint Ready_;
  /// Listening address for other entries, metrics and the state dump.
  Endpoint Peers_;
  Endpoint Store_;
  Endpoint Machines_;
  /// Machine orders per second that the platform accepts from all entries.
  double OrdersPerSecond_ = 1;
  /// Address of the placement service; absent if no queue needs advice.
  std::optional<Endpoint> Advice_;
  /// Maximum lease of a run that workers accept.
  Millis RunLeaseMax_{0};
  /// The platform's order lease: the minimum time between orders of different
  /// holders for the same machine.
  Millis OrderLease_{0};
  /// Whether the platform checks the fencing tokens of machine orders.
  schedule::OrderFencing OrderFencing_ = schedule::OrderFencing::Checked;
  /// How long an entry relies on account keys that neither the store nor
  /// another entry confirms; absent for no limit.
  std::optional<Millis> KeyTrust_;
  /// How long the state of an ended job can be queried.
  Millis StatusKept_{0};
  /// Time from SIGTERM to SIGKILL.
  Millis StopGrace_{0};
  /// How long a machine is unavailable for a move and for an upkeep.
  Millis Move_{0};
  Millis Upkeep_{0};

  bool operator==(const EntrySettings &) const = default;
};

/// What a changed settings file changes in a running process.
enum class SettingsChange : std::uint8_t {
  /// Nothing.
  None,
  /// Addresses of the platform, which are taken at once.
  Addresses,
  /// Also what a process reads only when it starts.
  NeedsRestart,
};

/// Takes the addresses of the store, the machine API and the placement service
/// from a changed file.
SettingsChange applyChange(EntrySettings &InForce,
                           const EntrySettings &Changed);

/// Parses and checks settings; File names them in problems. Throws
/// settings::SettingsError with all problems found.
EntrySettings parseEntrySettings(const std::string &Text,
                                 const std::string &File);

/// Reads a settings file. Throws settings::SettingsError if it can't be read.
std::string readSettingsFile(const std::string &File);

/// Reads, parses and checks a settings file. Throws settings::SettingsError.
EntrySettings loadEntrySettings(const std::string &File);

} // namespace heathercross::entry
