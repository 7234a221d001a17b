// The checked settings of an entry instance on the platform.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"
#include "settings/settings.h"

#include <string>

namespace heathercross::entry {

/// Filled in by the platform at each start and whenever something changes.
struct EntrySettings {
  EntryId Name_;
  ZoneId Zone_;
  /// Share of a core that this entry may use.
  double CpuShare_ = 1;
  /// Where callers connect.
  settings::Endpoint Front_;
  /// Where the balancer asks whether the entry is ready.
  settings::Endpoint Ready_;
  /// Where other entries connect; metrics and the state dump are there too.
  settings::Endpoint Peers_;
  settings::Endpoint Store_;
  settings::Endpoint Machines_;
  /// Machine orders that the platform takes in a second, from all entries.
  double OrdersPerSecond_ = 1;
  /// Where advice on placement is asked for; without one, no queue needs it.
  std::optional<settings::Endpoint> Advice_;
  /// The longest lease that a worker grants to what it runs.
  Millis RunLeaseMax_{0};
  /// Between orders of two holders for one machine.
  Millis OrderLease_{0};
  /// How long the state of an ended job can be asked for.
  Millis StatusKept_{0};
  /// Between SIGTERM and SIGKILL.
  Millis StopGrace_{0};
  /// How long a machine is away when it moves, and for an upkeep.
  Millis Move_{0};
  Millis Upkeep_{0};
};

/// Checks settings given as text; File names them in problems. Throws
/// settings::SettingsError with every problem.
EntrySettings parseEntrySettings(const std::string &Text,
                                 const std::string &File);

/// Reads and checks a settings file. Throws settings::SettingsError.
EntrySettings loadEntrySettings(const std::string &File);

} // namespace heathercross::entry
